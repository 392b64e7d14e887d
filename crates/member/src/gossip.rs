//! The queue of host states that are still to be gossiped.

use std::collections::HashMap;

use wagtail_types::HostId;

use crate::roster::Roster;
use crate::{Delta, HostView};

/// Hosts with updates to gossip, each with how often its state has been sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    send_counts: HashMap<HostId, u32>,
}

impl GossipQueue {
    /// Queues the state of a host, counting its sends from zero.
    pub(crate) fn enqueue(&mut self, host: &HostId) {
        self.send_counts.insert(host.clone(), 0);
    }

    /// Returns the least-sent states that fit in `budget` bytes, and deducts their size from it.
    ///
    /// A state leaves the queue after a number of sends that is logarithmic in the fleet size.
    pub(crate) fn take(&mut self, budget: &mut usize, roster: &Roster) -> Vec<Delta> {
        const SENDS_PER_DOUBLING: u32 = 3;
        let limit = SENDS_PER_DOUBLING * (roster.len().max(2).ilog2() + 1);
        let mut order: Vec<(u32, HostId)> = self
            .send_counts
            .iter()
            .map(|(h, &n)| (n, h.clone()))
            .collect();
        order.sort_unstable();
        let mut deltas = Vec::new();
        for (sent, host) in order {
            let Some(view) = roster.get(&host) else {
                self.send_counts.remove(&host);
                continue;
            };
            let delta = delta_of(view);
            if delta.size() > *budget {
                break;
            }
            *budget -= delta.size();
            deltas.push(delta);
            if sent + 1 >= limit {
                self.send_counts.remove(&host);
            } else {
                self.send_counts.insert(host, sent + 1);
            }
        }
        deltas
    }
}

/// Returns the state of a host as it is gossiped.
pub(crate) fn delta_of(view: &HostView) -> Delta {
    Delta {
        host: view.info.host.clone(),
        incarnation: view.incarnation,
        version: view.version,
        state: view.state,
    }
}
