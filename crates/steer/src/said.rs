//! What an endpoint has said of itself, kept while its registration changes.

use std::time::Instant;

use crate::limit::NamedLimit;

/// What an endpoint has said in its answers. Wall-clock times are in milliseconds, and comparable with
/// the start times that endpoints register.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Said {
    /// When the first answer arrived that said that it leaves, in wall-clock time.
    pub(crate) leaving: Option<u64>,
    /// When the last answer arrived that asked for a pause, in wall-clock time, and the pause's end.
    pub(crate) pause: Option<(u64, Instant)>,
    /// When its last word on its limit arrived, in wall-clock time, and that word.
    pub(crate) limit: Option<(u64, NamedLimit)>,
}

impl Said {
    /// Returns what has been said by the process that was started at `started`. Its registration may
    /// arrive after its first answers, which then seem to be those of the process before.
    pub(crate) fn by_process(self, started: Option<u64>) -> Self {
        let runs = |at: u64| started.is_some_and(|started| started <= at);
        Self {
            leaving: self.leaving.filter(|&at| runs(at)),
            pause: self.pause.filter(|&(at, _)| runs(at)),
            limit: self.limit.filter(|&(at, _)| runs(at)),
        }
    }
}
