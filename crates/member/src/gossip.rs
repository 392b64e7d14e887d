//! News that is still to be spread.

use std::collections::HashMap;

use wagtail_types::HostId;

use crate::roster::Roster;
use crate::{Delta, HostView};

/// The hosts of which there is news, each with how often it has been sent.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    sent: HashMap<HostId, u32>,
}

impl Gossip {
    /// Marks a host as news.
    pub(crate) fn add(&mut self, host: &HostId) {
        self.sent.insert(host.clone(), 0);
    }

    /// Takes the least sent news that fits in `room` bytes.
    pub(crate) fn take(&mut self, room: &mut usize, roster: &Roster) -> Vec<Delta> {
        const SENDS_PER_DOUBLING: u32 = 3;
        let limit = SENDS_PER_DOUBLING * (roster.len().max(2).ilog2() + 1);
        let mut order: Vec<(u32, HostId)> =
            self.sent.iter().map(|(h, &n)| (n, h.clone())).collect();
        order.sort_unstable();
        let mut deltas = Vec::new();
        for (sent, host) in order {
            let Some(view) = roster.get(&host) else {
                self.sent.remove(&host);
                continue;
            };
            let delta = delta(view);
            if delta.size() > *room {
                break;
            }
            *room -= delta.size();
            deltas.push(delta);
            if sent + 1 >= limit {
                self.sent.remove(&host);
            } else {
                self.sent.insert(host, sent + 1);
            }
        }
        deltas
    }
}

/// What is spread of a host.
pub(crate) fn delta(view: &HostView) -> Delta {
    Delta {
        host: view.info.host.clone(),
        incarnation: view.incarnation,
        version: view.version,
        state: view.state,
    }
}
