//! Tracks the generation of the registry's data, which rises each time the registry is restored
//! from an older copy.
//!
//! After a restore, versions go back and are assigned again, so that a version says nothing about
//! the entries of an earlier generation.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// A generation of the registry's data.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// What an answer of the registry says about the generation of its data.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum GenerationTag {
    /// The answer names no generation, as that of a registry which does not count them.
    #[display("none")]
    Absent,
    /// The answer names this generation.
    #[display("{_0}")]
    Known(Generation),
    /// The answer names a generation that cannot be read.
    #[display("unreadable: {_0}")]
    Unreadable(String),
}

impl GenerationTag {
    /// Returns the generation, if the answer names a readable one.
    pub fn known(&self) -> Option<Generation> {
        match self {
            Self::Known(generation) => Some(*generation),
            Self::Absent | Self::Unreadable(_) => None,
        }
    }
}

/// How an answer relates to the current generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The answer belongs to the current generation.
    Current,
    /// The registry has been restored; entries and versions read before are no longer valid.
    Restored,
    /// The answer belongs to an earlier generation and must not be applied.
    Outdated,
}

/// The current generation, according to the answers of the registry and to other hosts.
#[derive(Debug)]
pub struct GenerationTracker {
    current: GenerationTag,
    /// The highest generation that an answer has named.
    newest: Option<Generation>,
    /// The highest generation that another host has named.
    hinted: Option<Generation>,
}

impl Default for GenerationTracker {
    fn default() -> Self {
        Self {
            current: GenerationTag::Absent,
            newest: None,
            hinted: None,
        }
    }
}

impl GenerationTracker {
    /// Returns what the last applicable answer said.
    pub fn current(&self) -> &GenerationTag {
        &self.current
    }

    /// Records the tag of an answer.
    ///
    /// An answer without a tag belongs to the current generation, and the first tag only names it. A
    /// tag that cannot be read counts as a restore, unless it repeats the one before.
    pub fn observe(&mut self, tag: &GenerationTag) -> Observation {
        if *tag == GenerationTag::Absent || *tag == self.current {
            return Observation::Current;
        }
        if let GenerationTag::Known(generation) = tag {
            if self.newest.is_some_and(|newest| *generation < newest) {
                return Observation::Outdated;
            }
            let restored = self.newest.is_some_and(|newest| *generation > newest);
            self.newest = Some(*generation);
            self.current = tag.clone();
            return if restored {
                Observation::Restored
            } else {
                Observation::Current
            };
        }
        self.current = tag.clone();
        Observation::Restored
    }

    /// Records the generation that another host has named. Returns `true` if it is higher than all
    /// before, so that the registry should be asked. It does not become the current one, since a
    /// wrong one would make all answers of the registry outdated.
    pub fn hint(&mut self, generation: Generation) -> bool {
        let known = self.newest.max(self.hinted);
        // A host without a generation has not had an answer with one, so that there is no earlier
        // one whose entries could be in use.
        let newer = self.newest.is_some() && known.is_some_and(|known| generation > known);
        if newer {
            self.hinted = Some(generation);
        }
        newer
    }

    /// Returns whether entries that another host received in `generation` may be applied.
    pub fn applies(&self, generation: Option<Generation>) -> bool {
        match &self.current {
            GenerationTag::Absent => generation.is_none(),
            GenerationTag::Known(current) => generation == Some(*current),
            GenerationTag::Unreadable(_) => false,
        }
    }
}
