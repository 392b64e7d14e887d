//! Limits the rate of requests to endpoints in their cold start.

use std::time::Instant;

use crate::bucket::Bucket;

/// The number of designated senders per cold endpoint; two, so that one may fail. Even twice as many
/// bursts stay within the slack of the cold rate.
pub(crate) const COLD_SENDERS: usize = 2;

/// The limit of one sender for one cold endpoint.
#[derive(Debug)]
pub(crate) struct ColdLimit(Bucket);

impl ColdLimit {
    /// Creates a limit that allows one request at once.
    pub(crate) fn new(now: Instant) -> Self {
        Self(Bucket::full(now))
    }

    /// Returns whether a request may be sent now; `rate` is the requests per second from all hosts
    /// that the endpoint can take.
    pub(crate) fn allows(&mut self, rate: f64, now: Instant) -> bool {
        self.0.allows(rate / COLD_SENDERS as f64, now)
    }

    /// Takes the token for a request.
    pub(crate) fn take(&mut self) {
        self.0.take();
    }
}
