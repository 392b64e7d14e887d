//! Brings a transaction to a known outcome.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{PlatformError, Receipt, Row, RowKey, Table, Txn};

/// Settings of a [`Settle`].
#[derive(Debug, Clone)]
pub struct SettleSettings {
    /// How many calls may fail before the outcome is given up.
    pub failures: u32,
    /// The longest wait after the first failure; doubles with each.
    pub backoff: Duration,
    /// The longest wait of all.
    pub longest: Duration,
}

impl Default for SettleSettings {
    fn default() -> Self {
        Self {
            failures: 6,
            backoff: Duration::from_millis(100),
            longest: Duration::from_secs(2),
        }
    }
}

/// What to do next about a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleStep {
    /// Send the transaction and report by [`Settle::sent`].
    Send,
    /// Read the witness and report by [`Settle::read`].
    Read,
    /// Wait, then ask for the next step.
    Wait(Duration),
    /// The outcome is known, or given up.
    Done(Result<Receipt, PlatformError>),
}

/// A way in which the machine can be broken; only tests set one.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum SettleMutant {
    /// Not broken.
    #[default]
    None,
    /// Takes an unknown outcome for a failure and writes again under a new attempt.
    ForgetsUnknown,
    /// Takes a conflict at its word although an earlier send may have been applied.
    TrustsConflict,
    /// Gives up with an error that says that nothing was applied.
    DeniesUnknown,
}

/// Sends one transaction until its outcome is known, always under the same attempt id.
///
/// The transaction's first write is its witness: a row that names the attempt and that no later
/// transaction writes again. Where an answer is lost the witness is read back: if it bears this
/// attempt, the transaction was applied.
#[derive(Debug)]
pub struct Settle {
    settings: SettleSettings,
    mutant: SettleMutant,
    rng: SmallRng,
    txn: Txn,
    next: SettleStep,
    after: Option<SettleStep>,
    failures: u32,
    unknown: bool,
    conflict: Option<RowKey>,
}

impl Settle {
    /// A machine that has not sent `txn` yet.
    pub fn new(settings: SettleSettings, txn: Txn, seed: u64) -> Self {
        Self {
            settings,
            mutant: SettleMutant::None,
            rng: SmallRng::seed_from_u64(seed),
            txn,
            next: SettleStep::Send,
            after: None,
            failures: 0,
            unknown: false,
            conflict: None,
        }
    }

    /// Breaks the machine in one way, to show that its tests find it.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: SettleMutant) {
        self.mutant = mutant;
    }

    /// The transaction.
    pub fn txn(&self) -> &Txn {
        &self.txn
    }

    /// The row to read back.
    pub fn witness(&self) -> Option<&RowKey> {
        self.txn.writes.first().map(|w| &w.key)
    }

    /// What to do next.
    pub fn step(&mut self) -> SettleStep {
        match self.after.take() {
            Some(after) => std::mem::replace(&mut self.next, after),
            None => self.next.clone(),
        }
    }

    /// Takes the answer to a send in.
    pub fn sent(&mut self, result: Result<Receipt, PlatformError>) {
        match result {
            Ok(receipt) => self.next = SettleStep::Done(Ok(receipt)),
            Err(PlatformError::Conflict { key }) => self.conflicted(key),
            Err(error @ PlatformError::Unknown { .. }) => {
                self.note_unknown();
                self.retry(SettleStep::Read, error);
            }
            Err(error) => {
                let again = if self.unknown {
                    SettleStep::Read
                } else {
                    SettleStep::Send
                };
                self.retry(again, error);
            }
        }
    }

    /// Takes the answer to a read of the witness in.
    pub fn read(&mut self, result: Result<Option<Row>, PlatformError>) {
        match (result, self.conflict.clone()) {
            (Ok(Some(row)), _) if row.attempt == self.txn.attempt => {
                let version = row.version;
                self.next = SettleStep::Done(Ok(Receipt { version }));
            }
            (Ok(Some(_)), Some(key)) => {
                self.next = SettleStep::Done(Err(PlatformError::Conflict { key }));
            }
            (Ok(None), Some(_)) => {
                // The witness must be there, so this read is older than the conflict.
                let error = PlatformError::unknown("the table shows an old state");
                self.retry(SettleStep::Read, error);
            }
            (Ok(_), None) => self.next = SettleStep::Send,
            (Err(error), _) => self.retry(SettleStep::Read, error),
        }
    }

    fn note_unknown(&mut self) {
        if self.mutant == SettleMutant::ForgetsUnknown {
            self.txn.attempt.0 ^= 1;
            return;
        }
        self.unknown = true;
    }

    /// A conflict is final unless an earlier send may itself be what is in the way.
    fn conflicted(&mut self, key: RowKey) {
        if !self.unknown || self.mutant == SettleMutant::TrustsConflict {
            self.next = SettleStep::Done(Err(PlatformError::Conflict { key }));
            return;
        }
        self.conflict = Some(key);
        self.next = SettleStep::Read;
    }

    fn retry(&mut self, again: SettleStep, error: PlatformError) {
        self.failures += 1;
        if self.failures >= self.settings.failures {
            self.next = SettleStep::Done(Err(self.given_up(error)));
            return;
        }
        let doubled = self.settings.backoff * 2u32.saturating_pow(self.failures - 1);
        let longest = doubled.min(self.settings.longest);
        self.next = SettleStep::Wait(longest.mul_f64(self.rng.random_range(0.5..=1.0)));
        self.after = Some(again);
    }

    fn given_up(&self, error: PlatformError) -> PlatformError {
        if self.unknown && self.mutant != SettleMutant::DeniesUnknown {
            return PlatformError::unknown(error);
        }
        match error {
            PlatformError::Unknown { reason } => PlatformError::not_applied(reason),
            other => other,
        }
    }
}

/// Sends `txn` until its outcome is known.
///
/// # Errors
///
/// Fails as [`Table::transact`] does; an unknown outcome means that every way to learn it failed.
pub async fn settle(
    table: &dyn Table,
    settings: SettleSettings,
    txn: Txn,
    seed: u64,
) -> Result<Receipt, PlatformError> {
    let mut machine = Settle::new(settings, txn, seed);
    loop {
        match machine.step() {
            SettleStep::Send => {
                let result = table.transact(machine.txn()).await;
                machine.sent(result);
            }
            SettleStep::Read => {
                let result = match machine.witness() {
                    Some(key) => table.read(key).await,
                    None => Err(PlatformError::not_applied("the transaction writes nothing")),
                };
                machine.read(result);
            }
            SettleStep::Wait(time) => tokio::time::sleep(time).await,
            SettleStep::Done(result) => return result,
        }
    }
}
