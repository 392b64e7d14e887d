//! The designated senders of an endpoint: the few hosts that may send it requests while it takes only
//! few from all hosts together.

use crate::hash::rendezvous_score;

/// Returns whether `host` is one of the `count` hosts with the highest rendezvous scores for an
/// endpoint. All other arguments are name hashes.
pub(crate) fn is_sender(endpoint: u64, host: u64, peers: &[u64], count: usize) -> bool {
    let own = rendezvous_score(endpoint, host);
    let ahead = peers
        .iter()
        .filter(|&&o| rendezvous_score(endpoint, o) > own);
    ahead.take(count).count() < count
}
