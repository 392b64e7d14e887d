//! Limits the rate of requests to endpoints in their cold start.

use std::time::Instant;

use crate::hash::rendezvous_score;

/// The number of designated senders per endpoint; two, so that one may fail.
pub(crate) const SENDERS: usize = 2;

/// The burst size of a sender; even twice [`SENDERS`] bursts stay within the slack of the cold
/// rate.
const BURST: f64 = 1.0;

/// The token bucket of one sender for one cold endpoint.
#[derive(Debug)]
pub(crate) struct ColdLimit {
    level: f64,
    filled_at: Instant,
}

impl ColdLimit {
    /// Creates a limit that allows one request at once.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            level: BURST,
            filled_at: now,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate / SENDERS as f64).min(BURST);
        self.filled_at = now;
    }

    /// Returns whether a request may be sent now; `rate` is the requests per second from all hosts
    /// that the endpoint can take.
    pub(crate) fn allows(&mut self, rate: f64, now: Instant) -> bool {
        self.refill(rate, now);
        self.level >= 1.0
    }

    /// Takes the token for a request.
    pub(crate) fn take(&mut self) {
        self.level -= 1.0;
    }
}

/// Returns whether `host` is one of the [`SENDERS`] hosts with the highest rendezvous scores for an
/// endpoint. All arguments are name hashes.
pub(crate) fn is_sender(endpoint: u64, host: u64, peers: &[u64]) -> bool {
    let own = rendezvous_score(endpoint, host);
    let ahead = peers
        .iter()
        .filter(|&&o| rendezvous_score(endpoint, o) > own);
    ahead.take(SENDERS).count() < SENDERS
}
