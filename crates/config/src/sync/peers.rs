//! What is told to peers and pulled from them.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use wagtail_types::{Epoch, HostId};

use super::collect::{Collect, Delta, Step, is_ordered};
use super::{ConfigSync, Message, Pull, SyncEffect};
use crate::{Cursor, Page};

impl ConfigSync {
    pub(super) fn set_peers(&mut self, now: Instant, peers: Vec<HostId>) {
        let first = self.peers.is_empty();
        self.ahead.retain(|host, _| peers.contains(host));
        self.peers = peers;
        if first {
            self.greet();
        }
        if !self.ahead.is_empty() {
            self.pull_at.get_or_insert(now);
        }
    }

    /// Tells peers the own epoch: those ahead answer, those behind pull. A host without
    /// configuration asks several.
    pub(super) fn greet(&mut self) {
        let epoch = self.view.epoch();
        let count = if epoch == Epoch(0) {
            self.settings.asked
        } else {
            1
        };
        for to in self.some_peers(count) {
            let message = Message::Epoch { epoch };
            self.effects.push_back(SyncEffect::Send { to, message });
        }
    }

    pub(super) fn some_peers(&mut self, count: usize) -> Vec<HostId> {
        self.peers
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect()
    }

    pub(super) fn message(&mut self, now: Instant, from: HostId, message: Message) {
        match message {
            Message::Epoch { epoch } => {
                self.answer_epoch(&from, epoch);
                self.hear(now, from, epoch);
            }
            Message::Push { page } => self.pushed(now, from, page),
            Message::Pull {
                request,
                since,
                after,
            } => {
                let mut page = self.view.page(since, after.as_ref(), self.settings.page);
                page.limit(self.settings.page_bytes);
                let message = Message::Page { request, page };
                self.effects
                    .push_back(SyncEffect::Send { to: from, message });
            }
            Message::Page { request, page } => self.pulled(now, &from, request, page),
        }
    }

    pub(super) fn answer_epoch(&mut self, to: &HostId, epoch: Epoch) {
        if epoch < self.view.epoch() {
            let epoch = self.view.epoch();
            let to = to.clone();
            self.effects.push_back(SyncEffect::Send {
                to,
                message: Message::Epoch { epoch },
            });
        }
    }

    pub(super) fn hear(&mut self, now: Instant, from: HostId, epoch: Epoch) {
        if epoch <= self.view.epoch() {
            return;
        }
        self.ahead.insert(from, epoch);
        let cold = self.view.epoch() == Epoch(0);
        let wait = if cold {
            self.settings.grace
        } else {
            Duration::ZERO
        };
        self.pull_at.get_or_insert(now + wait);
        self.tick(now);
    }

    pub(super) fn pushed(&mut self, now: Instant, from: HostId, page: Page) {
        let builds = page.since <= self.view.epoch() || self.mutant.ignores_gaps();
        let sound = !page.more && is_ordered(&page, Cursor::after(page.since));
        if !builds || !sound {
            self.hear(now, from, page.head);
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

    /// Pulls from a peer that knows the highest epoch.
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
        let request = self.request();
        let expires = now + self.patience;
        self.pull = Some(Pull {
            request,
            from,
            expires,
            collect: Collect::new(own),
        });
        self.ask();
    }

    pub(super) fn ask(&mut self) {
        let Some(pull) = &self.pull else { return };
        let message = Message::Pull {
            request: pull.request,
            since: pull.collect.since(),
            after: pull.collect.after().cloned(),
        };
        let to = pull.from.clone();
        self.effects.push_back(SyncEffect::Send { to, message });
    }

    pub(super) fn pulled(&mut self, now: Instant, from: &HostId, request: u64, page: Page) {
        let is_answer = |p: &mut Pull| p.request == request && p.from == *from;
        let Some(mut pull) = self.pull.take_if(is_answer) else {
            return;
        };
        match pull.collect.take(page, self.mutant.is_lax()) {
            Step::More => {
                self.adopt_partial(now, &pull.collect);
                pull.request = self.request();
                pull.expires = now + self.patience;
                self.pull = Some(pull);
                self.ask();
                return;
            }
            Step::Whole(delta) => self.adopt(now, None, delta),
            Step::Torn => drop(self.ahead.remove(from)),
        }
        self.pull_at = Some(now);
        self.tick(now);
    }

    fn fanout(&self) -> usize {
        let hosts = self.peers.len() as f64 + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the logarithm of a count is small and not negative"
        )]
        let natural = hosts.ln().ceil() as usize;
        natural + self.settings.fanout
    }

    /// Sends the rows changed since `old` to a few peers, or the epoch alone where they are large.
    pub(super) fn tell(&mut self, old: Epoch) {
        let page = self.view.page(old, None, self.settings.page);
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
        for to in self.some_peers(self.fanout()) {
            let message = message.clone();
            self.effects.push_back(SyncEffect::Send { to, message });
        }
    }
}
