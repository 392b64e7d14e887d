//! Last known state of the peers' buckets.

use std::collections::BTreeMap;
use std::time::Instant;

use wagtail_types::{HostId, Rate, Tokens};

use crate::message::Hint;

/// Holds the last hint of each peer about one team, with its time of receipt.
#[derive(Debug, Default)]
pub(crate) struct Hints {
    latest: BTreeMap<HostId, (Hint, Instant)>,
}

impl Hints {
    pub(crate) fn record(&mut self, host: &HostId, hint: Hint, now: Instant) {
        match self.latest.get_mut(host) {
            Some(latest) => *latest = (hint, now),
            None => {
                self.latest.insert(host.clone(), (hint, now));
            }
        }
    }

    /// Estimates the tokens that a peer can lend; `None` if it has sent no hint.
    pub(crate) fn estimate(&self, host: &HostId, now: Instant) -> Option<Tokens> {
        let (hint, received) = self.latest.get(host)?;
        let accrued = hint.spare.over(now.saturating_duration_since(*received));
        Some(hint.level.saturating_add(accrued).min(hint.cap))
    }

    /// Returns the rate that a peer last had to spare; the maximum if it has sent no hint.
    pub(crate) fn spare_rate(&self, host: &HostId) -> Rate {
        let unknown = Rate::from_micros(u64::MAX);
        self.latest
            .get(host)
            .map_or(unknown, |(hint, _)| hint.spare)
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.latest.keys()
    }

    /// Drops the hints of peers for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&HostId) -> bool) {
        self.latest.retain(|host, _| keep(host));
    }
}
