//! Retries a transaction until its outcome is known.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{PlatformError, Receipt, Row, RowKey, Table, Txn};

/// Holds the settings of a [`TxnRetry`].
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// The number of failed calls after which the retry gives up.
    pub max_failures: u32,
    /// The longest wait after the first failure; doubles with each further one.
    pub first_backoff: Duration,
    /// The upper limit of all waits.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_failures: 6,
            first_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Tells what to do next about a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetryStep {
    /// Send the transaction, then call [`TxnRetry::handle_send`].
    Send,
    /// Read the marker row, then call [`TxnRetry::handle_read`].
    Read,
    /// Wait, then call [`TxnRetry::step`] again.
    Wait(Duration),
    /// The outcome is known, or the retry gave up.
    Done(Result<Receipt, PlatformError>),
}

/// Lists the broken variants of the state machine; only tests set one.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum RetryMutant {
    /// The correct state machine.
    #[default]
    None,
    /// Treats an unknown outcome as a failure and writes again under a new attempt id.
    ForgetsUnknown,
    /// Reports a conflict as final although an earlier send may have been applied.
    TrustsConflict,
    /// Gives up with an error that denies that the transaction may have been applied.
    DeniesUnknown,
}

/// Decides how to retry a transaction until its outcome is known, always under the same attempt id.
///
/// The transaction's first write is its marker row, which holds the attempt id and which no later
/// transaction overwrites. If an answer is lost, the marker row is read back: if it holds this
/// attempt id, the transaction was applied. The state machine does no I/O.
#[derive(Debug)]
pub struct TxnRetry {
    settings: RetrySettings,
    mutant: RetryMutant,
    rng: SmallRng,
    txn: Txn,
    next: RetryStep,
    /// The step after the wait in `next`.
    after_wait: Option<RetryStep>,
    failures: u32,
    /// Whether an earlier send may have been applied.
    in_doubt: bool,
    /// The row of a conflict that an earlier send may itself have caused.
    conflict: Option<RowKey>,
}

impl TxnRetry {
    /// Creates the state machine for `txn`, whose first step is to send it.
    pub fn new(settings: RetrySettings, txn: Txn, seed: u64) -> Self {
        Self {
            settings,
            mutant: RetryMutant::None,
            rng: SmallRng::seed_from_u64(seed),
            txn,
            next: RetryStep::Send,
            after_wait: None,
            failures: 0,
            in_doubt: false,
            conflict: None,
        }
    }

    /// Switches on a broken variant, so that tests can show that they detect it.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: RetryMutant) {
        self.mutant = mutant;
    }

    /// Returns the transaction.
    pub fn txn(&self) -> &Txn {
        &self.txn
    }

    /// Returns the key of the marker row; `None` if the transaction writes nothing.
    pub fn marker_key(&self) -> Option<&RowKey> {
        self.txn.writes.first().map(|w| &w.key)
    }

    /// Returns what to do next.
    pub fn step(&mut self) -> RetryStep {
        match self.after_wait.take() {
            Some(step) => std::mem::replace(&mut self.next, step),
            None => self.next.clone(),
        }
    }

    /// Handles the result of a send.
    pub fn handle_send(&mut self, result: Result<Receipt, PlatformError>) {
        match result {
            Ok(receipt) => self.next = RetryStep::Done(Ok(receipt)),
            Err(PlatformError::Conflict { key }) => self.handle_conflict(key),
            Err(error @ PlatformError::Unknown { .. }) => {
                self.note_doubt();
                self.retry_with(RetryStep::Read, error);
            }
            Err(error) => {
                let step = if self.in_doubt {
                    RetryStep::Read
                } else {
                    RetryStep::Send
                };
                self.retry_with(step, error);
            }
        }
    }

    /// Handles the result of a read of the marker row.
    pub fn handle_read(&mut self, result: Result<Option<Row>, PlatformError>) {
        match (result, self.conflict.clone()) {
            (Ok(Some(row)), _) if row.attempt == self.txn.attempt => {
                let version = row.version;
                self.next = RetryStep::Done(Ok(Receipt { version }));
            }
            (Ok(Some(_)), Some(key)) => {
                self.next = RetryStep::Done(Err(PlatformError::Conflict { key }));
            }
            (Ok(None), Some(_)) => {
                // A conflict means that this or a competing transaction has written the marker
                // row, so this read saw a state older than the conflict.
                let error =
                    PlatformError::unknown("the read returned a state from before the conflict");
                self.retry_with(RetryStep::Read, error);
            }
            (Ok(_), None) => self.next = RetryStep::Send,
            (Err(error), _) => self.retry_with(RetryStep::Read, error),
        }
    }

    fn note_doubt(&mut self) {
        if self.mutant == RetryMutant::ForgetsUnknown {
            self.txn.attempt.0 ^= 1;
            return;
        }
        self.in_doubt = true;
    }

    /// Handles a conflict, which is final unless an earlier send of this transaction may have
    /// caused it.
    fn handle_conflict(&mut self, key: RowKey) {
        if !self.in_doubt || self.mutant == RetryMutant::TrustsConflict {
            self.next = RetryStep::Done(Err(PlatformError::Conflict { key }));
            return;
        }
        self.conflict = Some(key);
        self.next = RetryStep::Read;
    }

    fn retry_with(&mut self, step: RetryStep, error: PlatformError) {
        self.failures += 1;
        if self.failures >= self.settings.max_failures {
            self.next = RetryStep::Done(Err(self.final_error(error)));
            return;
        }
        let doubled = self.settings.first_backoff * 2u32.saturating_pow(self.failures - 1);
        let limit = doubled.min(self.settings.max_backoff);
        self.next = RetryStep::Wait(limit.mul_f64(self.rng.random_range(0.5..=1.0)));
        self.after_wait = Some(step);
    }

    fn final_error(&self, error: PlatformError) -> PlatformError {
        if self.in_doubt && self.mutant != RetryMutant::DeniesUnknown {
            return PlatformError::unknown(error);
        }
        match error {
            PlatformError::Unknown { reason } => PlatformError::not_applied(reason),
            other => other,
        }
    }
}

/// Sends `txn` until its outcome is known or the retry gives up.
///
/// # Errors
///
/// Fails as [`Table::transact`] does. An unknown outcome means that every attempt to learn it
/// failed.
pub async fn transact_with_retry(
    table: &dyn Table,
    settings: RetrySettings,
    txn: Txn,
    seed: u64,
) -> Result<Receipt, PlatformError> {
    let mut retry = TxnRetry::new(settings, txn, seed);
    loop {
        match retry.step() {
            RetryStep::Send => {
                let result = table.transact(retry.txn()).await;
                retry.handle_send(result);
            }
            RetryStep::Read => {
                let result = match retry.marker_key() {
                    Some(key) => table.read(key).await,
                    None => Err(PlatformError::not_applied("the transaction writes nothing")),
                };
                retry.handle_read(result);
            }
            RetryStep::Wait(time) => tokio::time::sleep(time).await,
            RetryStep::Done(result) => return result,
        }
    }
}
