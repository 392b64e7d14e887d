//! How news of a host displaces what is held of it.

use std::time::Instant;

use wagtail_types::{HostId, Incarnation};

use crate::settings::Mutant;
use crate::{Delta, Effect, HostView, Member, MemberChange, State};

/// Whether `delta` says more than `view`.
fn displaces(delta: &Delta, view: &HostView, old_life: bool) -> bool {
    let theirs = (delta.incarnation, delta.version, delta.state);
    let ours = (view.incarnation, view.version, view.state);
    theirs > ours || old_life && theirs != ours
}

impl Member {
    /// Takes in news of a host.
    pub(crate) fn learn(&mut self, now: Instant, delta: &Delta) {
        if delta.state == State::Unknown {
            return;
        }
        if delta.host == self.settings.own.host {
            self.learn_self(now, delta);
            return;
        }
        let old_life = self.settings.broken(Mutant::OldLife);
        let Some(view) = self.roster.get_mut(&delta.host) else {
            return;
        };
        if !displaces(delta, view, old_life) {
            return;
        }
        let from = view.state;
        let new_life = view.incarnation != delta.incarnation;
        view.incarnation = delta.incarnation;
        view.version = delta.version;
        view.state = delta.state;
        if from != delta.state || new_life {
            view.since = now;
            let change = MemberChange {
                host: delta.host.clone(),
                zone: view.info.zone.clone(),
                from: Some(from),
                to: Some(delta.state),
                incarnation: delta.incarnation,
            };
            self.effects.push_back(Effect::Changed(change));
        }
        self.spread(&delta.host);
        self.time_suspect(now, &delta.host, delta.state);
    }

    /// Refutes what is wrong about this host.
    fn learn_self(&mut self, now: Instant, delta: &Delta) {
        if delta.incarnation > self.settings.incarnation {
            self.replaced(delta.incarnation);
            return;
        }
        let own = &self.settings.own.host;
        let Some(view) = self.roster.get_mut(own) else {
            return;
        };
        let wrong = delta.incarnation == self.settings.incarnation
            && (delta.version, delta.state) > (view.version, view.state);
        if wrong && !self.settings.broken(Mutant::NoRefute) {
            view.version = delta.version.saturating_add(1);
            view.since = now;
            let own = own.clone();
            self.spread(&own);
        }
    }

    fn replaced(&mut self, incarnation: Incarnation) {
        if self.replaced_by < Some(incarnation) {
            self.replaced_by = Some(incarnation);
            self.effects.push_back(Effect::Replaced { incarnation });
        }
    }

    /// Suspects a host that did not answer.
    pub(crate) fn suspect(&mut self, now: Instant, host: &HostId) {
        let Some(view) = self.roster.get(host) else {
            return;
        };
        let state = match view.state {
            State::Alive | State::Leaving => State::Suspect,
            // It has nothing to refute: any message of it will displace this.
            State::Unknown => State::Dead,
            State::Suspect | State::Dead => return,
        };
        let delta = Delta {
            state,
            ..crate::gossip::delta(view)
        };
        self.learn(now, &delta);
    }

    /// Declares the suspects dead whose time is over.
    pub(crate) fn judge(&mut self, now: Instant) {
        let due: Vec<HostId> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in due {
            self.suspects.remove(&host);
            let never = self.settings.broken(Mutant::NeverDead);
            let Some(view) = self.roster.get(&host).filter(|_| !never) else {
                continue;
            };
            let delta = Delta {
                state: State::Dead,
                ..crate::gossip::delta(view)
            };
            self.learn(now, &delta);
        }
    }

    fn time_suspect(&mut self, now: Instant, host: &HostId, state: State) {
        if state == State::Suspect {
            let until = now + self.settings.suspicion(self.roster.len());
            self.suspects.insert(host.clone(), until);
        } else {
            self.suspects.remove(host);
        }
    }

    pub(crate) fn spread(&mut self, host: &HostId) {
        if !self.settings.broken(Mutant::NoSpread) {
            self.gossip.add(host);
        }
    }
}
