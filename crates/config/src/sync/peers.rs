//! Announcements to peers and pulls from them.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use wagtail_types::{Epoch, HostId};

use super::delta::{Delta, DeltaBuilder, Progress, is_ordered};
use super::{ConfigSync, Message, PeerPull, SyncEffect};
use crate::{Cursor, Page};

impl ConfigSync {
    pub(super) fn set_peers(&mut self, now: Instant, peers: Vec<HostId>) {
        let first = self.peers.is_empty();
        self.ahead.retain(|host, _| peers.contains(host));
        self.peers = peers;
        if first {
            self.announce_epoch();
        }
        if !self.ahead.is_empty() {
            self.pull_at.get_or_insert(now);
        }
    }

    /// Sends the epoch of the local host to a random peer: a peer that is ahead answers, one that
    /// is behind pulls. A host without configuration sends it to several peers.
    pub(super) fn announce_epoch(&mut self) {
        let epoch = self.view.epoch();
        let count = if epoch == Epoch(0) {
            self.settings.initial_peers
        } else {
            1
        };
        for to in self.sample_peers(count) {
            let message = Message::Epoch { epoch };
            self.effects.push_back(SyncEffect::Send { to, message });
        }
    }

    pub(super) fn sample_peers(&mut self, count: usize) -> Vec<HostId> {
        self.peers
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect()
    }

    pub(super) fn handle_message(&mut self, now: Instant, from: HostId, message: Message) {
        match message {
            Message::Epoch { epoch } => {
                self.answer_older(&from, epoch);
                self.note_peer_epoch(now, from, epoch);
            }
            Message::Push { page } => self.handle_push(now, from, page),
            Message::Pull {
                request,
                since,
                after,
            } => {
                let mut page = self
                    .view
                    .page(since, after.as_ref(), self.settings.page_rows);
                page.limit(self.settings.page_bytes);
                let message = Message::Page { request, page };
                self.effects
                    .push_back(SyncEffect::Send { to: from, message });
            }
            Message::Page { request, page } => self.handle_page(now, &from, request, page),
        }
    }

    /// Answers a peer whose epoch is lower with the epoch of the local host.
    pub(super) fn answer_older(&mut self, to: &HostId, epoch: Epoch) {
        if epoch < self.view.epoch() {
            let epoch = self.view.epoch();
            let to = to.clone();
            self.effects.push_back(SyncEffect::Send {
                to,
                message: Message::Epoch { epoch },
            });
        }
    }

    /// Notes the epoch of a peer and pulls from it if it is higher.
    pub(super) fn note_peer_epoch(&mut self, now: Instant, from: HostId, epoch: Epoch) {
        if epoch <= self.view.epoch() {
            return;
        }
        self.ahead.insert(from, epoch);
        let cold = self.view.epoch() == Epoch(0);
        let wait = if cold {
            self.settings.initial_wait
        } else {
            Duration::ZERO
        };
        self.pull_at.get_or_insert(now + wait);
        self.tick(now);
    }

    pub(super) fn handle_push(&mut self, now: Instant, from: HostId, page: Page) {
        let applies = page.since <= self.view.epoch() || self.mutant.ignores_gaps();
        let complete = !page.more && is_ordered(&page, Cursor::after_epoch(page.since));
        if !applies || !complete {
            self.note_peer_epoch(now, from, page.head);
            return;
        }
        let Page {
            since,
            head,
            floor,
            rows,
            ..
        } = page;
        self.adopt(
            now,
            None,
            Delta {
                since,
                head,
                floor,
                rows,
            },
        );
    }

    /// Starts a pull from one of the peers with the highest epoch, or continues an expired one there.
    pub(super) fn start_pull(&mut self, now: Instant) {
        self.pull_at = None;
        let own = self.view.epoch();
        self.ahead.retain(|_, epoch| *epoch > own);
        let Some(best) = self.ahead.values().max().copied() else {
            return;
        };
        let hosts: Vec<_> = self.ahead.iter().filter(|(_, e)| **e == best).collect();
        let Some(from) = hosts.choose(&mut self.rng).map(|(host, _)| (*host).clone()) else {
            return;
        };
        let expires = now + self.pull_timeout;
        let last = self.expired_pull.take();
        let mut pull = match last.filter(|pull| pull.delta.since() == own) {
            Some(pull) => PeerPull { expires, ..pull },
            None => PeerPull {
                request: self.next_request(),
                asked: Vec::new(),
                expires,
                delta: DeltaBuilder::new(own),
            },
        };
        pull.asked.retain(|asked| *asked != from);
        pull.asked.push(from);
        self.pull = Some(pull);
        self.send_pull();
    }

    pub(super) fn send_pull(&mut self) {
        let Some(pull) = &self.pull else { return };
        let Some(to) = pull.asked.last().cloned() else {
            return;
        };
        let message = Message::Pull {
            request: pull.request,
            since: pull.delta.since(),
            after: pull.delta.after().cloned(),
        };
        self.effects.push_back(SyncEffect::Send { to, message });
    }

    /// Postpones the expiry of a pull from a peer whose answer, or what comes before it, is arriving.
    pub(super) fn extend_pull(&mut self, now: Instant, from: &HostId) {
        let timeout = self.pull_timeout;
        let pull = self.pull.as_mut();
        if let Some(pull) = pull.filter(|pull| pull.asked.contains(from)) {
            pull.expires = pull.expires.max(now + timeout);
        }
    }

    pub(super) fn handle_page(&mut self, now: Instant, from: &HostId, request: u64, page: Page) {
        let is_answer = |p: &mut PeerPull| p.request == request && p.asked.contains(from);
        let Some(mut pull) = self.pull.take_if(is_answer) else {
            return;
        };
        match pull.delta.add_page(page, self.mutant.joins_inconsistent()) {
            Progress::More => {
                self.adopt_partial(now, &pull.delta);
                pull.request = self.next_request();
                pull.asked = vec![from.clone()];
                pull.expires = now + self.pull_timeout;
                self.pull = Some(pull);
                self.send_pull();
                return;
            }
            Progress::Complete(delta) => self.adopt(now, None, delta),
            Progress::Inconsistent => drop(self.ahead.remove(from)),
        }
        self.pull_at = Some(now);
        self.tick(now);
    }

    /// Returns how many peers to send a change to. An epidemic needs the natural logarithm of the
    /// number of hosts to reach every host.
    fn fanout(&self) -> usize {
        let hosts = self.peers.len() as f64 + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the logarithm of a count is small and not negative"
        )]
        let needed = hosts.ln().ceil() as usize;
        needed + self.settings.extra_fanout
    }

    /// Sends the rows changed since `old` to a few peers, or only the epoch if the rows are large.
    pub(super) fn announce_change(&mut self, old: Epoch) {
        let page = self.view.page(old, None, self.settings.page_rows);
        let bytes: usize = page
            .rows
            .iter()
            .filter_map(|r| r.body.as_ref())
            .map(|b| b.len())
            .sum();
        let small = !page.more && page.since == old && bytes <= self.settings.push_bytes;
        let message = if small {
            Message::Push { page }
        } else {
            Message::Epoch {
                epoch: self.view.epoch(),
            }
        };
        for to in self.sample_peers(self.fanout()) {
            let message = message.clone();
            self.effects.push_back(SyncEffect::Send { to, message });
        }
    }
}
