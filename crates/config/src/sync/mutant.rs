//! Broken variants, which the tests of the machine must find.

/// A way in which the machine can be broken; only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mutant {
    /// Not broken.
    #[default]
    None,
    /// Adopts an epoch that is equal to or lower than its own.
    AdoptsLower,
    /// Adopts the pages of a delta one by one.
    AdoptsPartial,
    /// Applies pushed rows that do not build on its own epoch.
    IgnoresGaps,
    /// Joins pages that were read from ever older states.
    JoinsTorn,
    /// Passes on a snapshot as if it remembered withdrawn records.
    ForgetsFloor,
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

    pub(crate) fn forgets_floor(self) -> bool {
        self == Self::ForgetsFloor
    }

    pub(crate) fn is_lax(self) -> bool {
        self == Self::JoinsTorn
    }
}
