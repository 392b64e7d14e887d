//! Broken variants of the state machine, which its tests must detect.

/// Lists the broken variants of the state machine; only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mutant {
    /// The correct state machine.
    #[default]
    None,
    /// Adopts an epoch that is equal to or lower than its own.
    AdoptsLower,
    /// Adopts each page of a delta as if it were the complete delta.
    AdoptsPartial,
    /// Applies pushed rows that do not build on its own epoch.
    IgnoresGaps,
    /// Joins pages even if a later one was read from an older state.
    JoinsInconsistent,
    /// Serves deltas from a snapshot as if it knew which records were withdrawn.
    DropsFloor,
}

impl Mutant {
    pub(crate) fn adopts_lower(self) -> bool {
        self == Self::AdoptsLower
    }

    pub(crate) fn adopts_partial(self) -> bool {
        self == Self::AdoptsPartial
    }

    pub(crate) fn ignores_gaps(self) -> bool {
        self == Self::IgnoresGaps
    }

    pub(crate) fn drops_floor(self) -> bool {
        self == Self::DropsFloor
    }

    pub(crate) fn joins_inconsistent(self) -> bool {
        self == Self::JoinsInconsistent
    }
}
