//! The position of a host in the changes of one registry topic.

/// The position up to which the entries of a topic are applied.
#[derive(Debug, Default)]
pub struct Cursor {
    /// The version up to which changes are applied; `None` if a full read is needed.
    version: Option<u64>,
    /// Whether the next full read is the first one after a restore of the registry.
    after_restore: bool,
}

/// What entries are relative to those applied before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// The changes since the version before.
    Changes,
    /// All entries; those missing are gone.
    All,
    /// All entries of a registry that was restored from an older copy; those missing may be written
    /// again, and those listed may have changed since.
    Restored,
}

impl Cursor {
    /// Returns the version after which changes are needed, or `None` if a full read is needed.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records that the registry no longer has the changes after the version.
    pub fn lose_history(&mut self) {
        self.version = None;
    }

    /// Records that the registry was restored, so that the version belongs to an earlier generation.
    pub fn restart(&mut self) {
        *self = Self {
            version: None,
            after_restore: true,
        };
    }

    /// Returns whether changes from after version `after` up to `version` can be applied without
    /// missing any in between.
    pub fn continues(&self, after: u64, version: u64) -> bool {
        self.version
            .is_some_and(|current| after <= current && current <= version)
    }

    /// Moves the position to the version of all entries, which are about to be applied. Returns `None`
    /// if they are older than what has been applied, and must be ignored.
    pub fn replace(&mut self, version: u64) -> Option<Extent> {
        if self.version.is_some_and(|current| version < current) {
            return None;
        }
        self.version = Some(version);
        Some(if std::mem::take(&mut self.after_restore) {
            Extent::Restored
        } else {
            Extent::All
        })
    }

    /// Moves the position to the version of entries that are about to be applied. A lower version is
    /// ignored, since the registry may answer from a replica that lags behind.
    pub fn advance(&mut self, version: u64) -> Extent {
        let full_read = self.version.is_none();
        self.version = self.version.max(Some(version));
        if !full_read {
            Extent::Changes
        } else if std::mem::take(&mut self.after_restore) {
            Extent::Restored
        } else {
            Extent::All
        }
    }
}
