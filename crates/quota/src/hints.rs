//! How rich other hosts are, as far as their messages tell.

use std::collections::BTreeMap;
use std::time::Instant;

use wagtail_types::{HostId, Rate, Tokens};

use crate::message::Hint;

/// The last hint of each other host about one team.
#[derive(Debug, Default)]
pub(crate) struct Hints {
    seen: BTreeMap<HostId, (Hint, Instant)>,
}

impl Hints {
    pub(crate) fn note(&mut self, host: &HostId, hint: Hint, now: Instant) {
        match self.seen.get_mut(host) {
            Some(seen) => *seen = (hint, now),
            None => {
                self.seen.insert(host.clone(), (hint, now));
            }
        }
    }

    /// The tokens that a host probably has; `None` where it was never heard of.
    pub(crate) fn estimate(&self, host: &HostId, now: Instant) -> Option<Tokens> {
        let (hint, at) = self.seen.get(host)?;
        let grown = hint.spare.over(now.saturating_duration_since(*at));
        Some(hint.level.saturating_add(grown).min(hint.cap))
    }

    /// The rate that a host last had to spare; the most where it was never heard of.
    pub(crate) fn spare(&self, host: &HostId) -> Rate {
        let unknown = Rate::from_micros(u64::MAX);
        self.seen.get(host).map_or(unknown, |(hint, _)| hint.spare)
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.seen.keys()
    }

    /// Forgets hosts that are gone.
    pub(crate) fn retain(&mut self, keep: impl Fn(&HostId) -> bool) {
        self.seen.retain(|host, _| keep(host));
    }
}
