//! Merging of received host states into the roster: suspicion, refutation and death.

use std::time::Instant;

use wagtail_types::{HostId, Incarnation};

use crate::settings::Mutant;
use crate::{Delta, Effect, HostView, Member, MemberChange, State};

/// Returns whether `delta` is newer than `view`: by incarnation, then version, then state.
fn supersedes(delta: &Delta, view: &HostView, accept_older: bool) -> bool {
    let theirs = (delta.incarnation, delta.version, delta.state);
    let ours = (view.incarnation, view.version, view.state);
    theirs > ours || accept_older && theirs != ours
}

impl Member {
    /// Applies a received or derived state of a host if it is newer, and queues it for gossip.
    pub(crate) fn apply_delta(&mut self, now: Instant, delta: &Delta) {
        if delta.state == State::Unknown {
            return;
        }
        if delta.host == self.settings.local.host {
            self.apply_local_delta(now, delta);
            return;
        }
        let accept_older = self.settings.has_mutant(Mutant::OldIncarnation);
        let Some(view) = self.roster.get_mut(&delta.host) else {
            return;
        };
        if !supersedes(delta, view, accept_older) {
            return;
        }
        let from = view.state;
        let new_incarnation = view.incarnation != delta.incarnation;
        view.incarnation = delta.incarnation;
        view.version = delta.version;
        view.state = delta.state;
        if from != delta.state || new_incarnation {
            view.state_since = now;
            let change = MemberChange {
                host: delta.host.clone(),
                zone: view.info.zone.clone(),
                from: Some(from),
                to: Some(delta.state),
                incarnation: delta.incarnation,
            };
            self.effects.push_back(Effect::Changed(change));
        }
        self.enqueue_gossip(&delta.host);
        self.update_suspicion_timer(now, &delta.host, delta.state);
    }

    /// Refutes a false state of the local host by raising its version, or reports that a newer
    /// incarnation has replaced it.
    fn apply_local_delta(&mut self, now: Instant, delta: &Delta) {
        if delta.incarnation > self.settings.incarnation {
            self.report_replaced(delta.incarnation);
            return;
        }
        let host = &self.settings.local.host;
        let Some(view) = self.roster.get_mut(host) else {
            return;
        };
        let is_wrong = delta.incarnation == self.settings.incarnation
            && (delta.version, delta.state) > (view.version, view.state);
        if is_wrong && !self.settings.has_mutant(Mutant::NoRefute) {
            view.version = delta.version.saturating_add(1);
            view.state_since = now;
            let host = host.clone();
            self.enqueue_gossip(&host);
        }
    }

    fn report_replaced(&mut self, incarnation: Incarnation) {
        if self.replaced_by < Some(incarnation) {
            self.replaced_by = Some(incarnation);
            self.effects.push_back(Effect::Replaced { incarnation });
        }
    }

    /// Marks a host as suspect after both its direct and its indirect probes have failed.
    pub(crate) fn suspect(&mut self, now: Instant, host: &HostId) {
        let Some(view) = self.roster.get(host) else {
            return;
        };
        let state = match view.state {
            State::Alive | State::Leaving => State::Suspect,
            // No suspicion period is needed: any message from the host supersedes this state.
            State::Unknown => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let delta = Delta {
            state,
            ..crate::gossip::delta_of(view)
        };
        self.apply_delta(now, &delta);
    }

    /// Declares dead the suspects whose suspicion timeout has passed.
    pub(crate) fn expire_suspects(&mut self, now: Instant) {
        let expired: Vec<HostId> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            self.suspects.remove(&host);
            let never_dead = self.settings.has_mutant(Mutant::NeverDead);
            let Some(view) = self.roster.get(&host).filter(|_| !never_dead) else {
                continue;
            };
            let delta = Delta {
                state: State::Dead,
                ..crate::gossip::delta_of(view)
            };
            self.apply_delta(now, &delta);
        }
    }

    fn update_suspicion_timer(&mut self, now: Instant, host: &HostId, state: State) {
        if state == State::Suspect {
            let deadline = now + self.settings.suspicion_timeout(self.roster.len());
            self.suspects.insert(host.clone(), deadline);
        } else {
            self.suspects.remove(host);
        }
    }

    pub(crate) fn enqueue_gossip(&mut self, host: &HostId) {
        if !self.settings.has_mutant(Mutant::NoGossip) {
            self.gossip.enqueue(host);
        }
    }
}
