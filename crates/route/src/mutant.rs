//! Deliberate faults that tests inject to prove that their oracles detect them.

/// A deliberate fault for mutation tests.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A host uses a newly gained slot without the handover wait.
    NoWait,
    /// A host keeps using slots that it no longer holds.
    KeepLostSlots,
    /// A host keeps using its slots after a process pause.
    TrustAfterPause,
    /// Planned moves do not count against the caps.
    UncappedMoves,
    /// A cap allows its full share at once instead of ramping up.
    NoRamp,
    /// Ejection ignores the maximum ejected share.
    EjectAll,
    /// The queue is served in order of arrival.
    Fifo,
    /// Queued requests start even after their latest start time.
    StartExpired,
    /// A leaving endpoint still gets new requests while it has any in flight.
    UseLeaving,
    /// Retries ignore their budget.
    UnlimitedRetries,
    /// A host consents to a slot handover while it still has requests in flight on the slots.
    ConsentEarly,
    /// A host consents to a slot handover although a lost peer may have left requests in flight
    /// that it does not know of.
    ConsentUnaware,
    /// Bytes to other regions are sent without pacing.
    UnpacedBytes,
}

/// Holds the injected fault, if any; always none outside tests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fault {
    #[cfg(feature = "mutants")]
    pub(crate) mutant: Option<Mutant>,
}

impl Fault {
    #[cfg(feature = "mutants")]
    pub(crate) fn is(self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "used with the `mutants` feature")]
    pub(crate) fn is(self, _: Mutant) -> bool {
        false
    }
}
