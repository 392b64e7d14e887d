//! The settings of duplicate suppression.

use std::time::Duration;

use wagtail_types::Bytes;

/// Times and bounds of duplicate suppression.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long an outcome is kept after it is known.
    pub keep: Duration,
    /// How long an issued key may be used for the first time.
    pub key_life: Duration,
    /// The longest that a relay message can be under way between two hosts.
    pub relay_life: Duration,
    /// The memory for all attempts and outcomes, a quarter of which only notes of relayed attempts
    /// may fill.
    pub memory: Bytes,
    /// The largest answer that is kept; every running attempt reserves this much.
    pub answer_max: Bytes,
    /// How many expired issued keys that have run are remembered by number.
    pub spent_max: usize,
    /// How many keys one call of `Once::issue` hands out at most.
    pub batch_max: usize,
    /// How often a claim of unknown outcome is read back or written again.
    pub claim_tries: u32,
    /// When a caller may try again after a claim that could not be made.
    pub claim_retry: Duration,
    /// How long the row of a claim must be kept at least.
    pub row_life: Duration,
    /// How often dropped permits are looked for while any is out.
    pub permit_check: Duration,
    /// The fleet's seed of the check in issued keys.
    pub check_seed: u64,
    /// The deliberate fault of a test.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(600),
            key_life: Duration::from_secs(600),
            relay_life: Duration::from_secs(60),
            memory: Bytes(64 << 20),
            answer_max: Bytes(64 << 10),
            spent_max: 100_000,
            batch_max: 1_000,
            claim_tries: 4,
            claim_retry: Duration::from_secs(1),
            row_life: Duration::from_secs(30 * 24 * 3600),
            permit_check: Duration::from_millis(250),
            check_seed: 0,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }
}

/// A deliberate fault that tests must find.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// An unknown outcome frees the key.
    RerunUnknown,
    /// A dropped permit frees the key.
    DropFrees,
    /// Outcomes are forgotten at the memory bound.
    ForgetAtBound,
    /// An expired key runs again once its outcome is forgotten.
    ForgetExpired,
    /// Any host runs an issued key.
    RunElsewhere,
    /// Keys of an earlier incarnation of this host run.
    OldIncarnation,
    /// A claim of unknown outcome counts as made.
    TrustUnknown,
    /// A key that another host holds runs here.
    IgnoreHolder,
    /// A lost issuer or holder is taken for proof that nothing ran.
    GoneIsNotRun,
    /// A repeated relay message runs again after `not-run`.
    ForgetRelay,
    /// A relay message for an earlier life is taken in.
    AnyLife,
    /// A duplicate of a running attempt is run too.
    NoWait,
    /// Fingerprints are not compared.
    AnyPrint,
}

impl Settings {
    /// Whether the deliberate fault `mutant` is switched on.
    #[cfg(feature = "mutants")]
    pub(crate) fn broken(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Without the feature there are no faults to switch on.
    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "the same call as with the feature")]
    pub(crate) const fn broken(&self, _: Mutant) -> bool {
        false
    }
}
