//! The settings of duplicate suppression.

use std::time::Duration;

use wagtail_types::Bytes;

/// Durations and limits of duplicate suppression.
#[derive(Debug, Clone)]
pub struct Settings {
    /// How long an outcome is remembered after the attempt has ended.
    pub outcome_ttl: Duration,
    /// How long after its issue a key may be run.
    pub key_ttl: Duration,
    /// The longest time for which a relay message can be in flight, and for which it is resent.
    pub relay_ttl: Duration,
    /// The memory for all attempts, outcomes and relay records; a quarter of it is reserved for
    /// relay records.
    pub memory: Bytes,
    /// The largest answer that is stored; every attempt and claim in flight reserves this much.
    pub answer_max: Bytes,
    /// How many expired issued keys that may have run are remembered by counter.
    pub executed_max: usize,
    /// How many keys one call of `Deduplicator::issue` returns at most.
    pub batch_max: usize,
    /// How many times a claim of unknown outcome is read back or written again.
    pub claim_retries: u32,
    /// The retry delay for callers after a claim that failed or a relay to the wrong host.
    pub retry_after: Duration,
    /// The minimum time for which the row of a claim must be retained.
    pub row_retention: Duration,
    /// How often to check for dropped permits while an attempt is running.
    pub permit_interval: Duration,
    /// The seed of the tag in issued keys, the same on every host of the fleet and in no other fleet.
    pub checksum_seed: u64,
    /// The deliberate fault that a test injects.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            outcome_ttl: Duration::from_secs(600),
            key_ttl: Duration::from_secs(600),
            relay_ttl: Duration::from_secs(60),
            memory: Bytes(64 << 20),
            answer_max: Bytes(64 << 10),
            executed_max: 100_000,
            batch_max: 1_000,
            claim_retries: 4,
            retry_after: Duration::from_secs(1),
            row_retention: Duration::from_secs(30 * 24 * 3600),
            permit_interval: Duration::from_millis(250),
            checksum_seed: 0,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }
}

/// A deliberate fault that tests must detect.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Lets a key run again after an unknown outcome.
    RerunUnknown,
    /// Lets a key run again after a dropped permit.
    RerunDropped,
    /// Evicts outcomes when the memory is full.
    EvictOutcomes,
    /// Runs an expired key again once its outcome has been removed.
    RerunExpired,
    /// Runs keys that another host issued.
    RunForeignKeys,
    /// Runs keys issued by an earlier incarnation of this host.
    RunOldIncarnation,
    /// Treats a claim of unknown outcome as applied.
    TrustUnknownClaim,
    /// Runs a key that another host has claimed.
    IgnoreHolder,
    /// Takes the loss of the issuer or claim holder as proof that nothing ran.
    LostHostNotRun,
    /// Runs a repeated relay message again after `not-run`.
    RerunRelay,
    /// Accepts a relay message for an earlier incarnation.
    AnyIncarnation,
    /// Runs a duplicate while the first attempt is running.
    RunDuplicates,
    /// Does not compare fingerprints.
    IgnoreFingerprint,
}

impl Settings {
    /// Returns whether the deliberate fault `mutant` is enabled.
    #[cfg(feature = "mutants")]
    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns `false`: without the feature `mutants` no fault can be enabled.
    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "same signature as with the feature")]
    pub(crate) const fn has_mutant(&self, _: Mutant) -> bool {
        false
    }
}
