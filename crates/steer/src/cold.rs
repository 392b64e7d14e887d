//! The rate of requests to cold endpoints.

use std::time::Instant;

use crate::hash::score;

/// The hosts that may send to one cold endpoint; two, so that one may be lost.
pub(crate) const SENDERS: usize = 2;

/// The most tokens of a sender; with [`SENDERS`] twice over this stays within the slack.
const BURST: f64 = 1.0;

/// One host's rate to one cold endpoint.
#[derive(Debug)]
pub(crate) struct ColdLimit {
    level: f64,
    at: Instant,
}

impl ColdLimit {
    /// A limit with one request at hand.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            level: BURST,
            at: now,
        }
    }

    fn fill(&mut self, rate: f64, now: Instant) {
        let gone = now.duration_since(self.at).as_secs_f64();
        self.level = (self.level + gone * rate / SENDERS as f64).min(BURST);
        self.at = now;
    }

    /// Whether a request may be sent, where the endpoint bears `rate` a second from all hosts.
    pub(crate) fn allows(&mut self, rate: f64, now: Instant) -> bool {
        self.fill(rate, now);
        self.level >= 1.0
    }

    /// Counts a request.
    pub(crate) fn take(&mut self) {
        self.level -= 1.0;
    }
}

/// Whether a host is one of the [`SENDERS`] of an endpoint among others, all by the hashes of their
/// names.
pub(crate) fn is_sender(endpoint: u64, host: u64, others: &[u64]) -> bool {
    let own = score(endpoint, host);
    let before = others.iter().filter(|&&o| score(endpoint, o) > own);
    before.take(SENDERS).count() < SENDERS
}
