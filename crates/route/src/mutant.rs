//! Deliberate faults, by which the tests show that their oracles can fail.

/// A deliberate fault.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A host uses a slot as soon as it gains it.
    NoWait,
    /// A host goes on using slots that it has lost.
    KeepSlots,
    /// A host trusts its slots after a pause.
    TrustAfterPause,
    /// Planned moves draw on no cap.
    UncappedMoves,
    /// A cap is wholly open from the first wish on.
    NoRamp,
    /// Ejection knows no set share.
    EjectAll,
    /// The queue is served in the order of arrival.
    Fifo,
    /// Queued requests start however late it is.
    StartLate,
    /// A leaving endpoint gets work until it has nothing running.
    WorkWhileLeaving,
    /// Retries need no budget.
    FreeRetries,
    /// A host agrees to a hand-over while it still runs something on the slots.
    AgreeEarly,
    /// A host agrees to a hand-over although it may not know what lost hosts left running.
    AgreeUnknowing,
    /// Bytes to other regions are sent without a wait.
    FreeBytes,
}

/// The deliberate fault in force, if any; always none outside tests.
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
    #[expect(clippy::unused_self, reason = "the other build looks at it")]
    pub(crate) fn is(self, _: Mutant) -> bool {
        false
    }
}
