//! Building and processing of messages.

use std::time::Instant;

use wagtail_types::HostId;

use crate::gossip::delta_of;
use crate::message::Cursor;
use crate::settings::Mutant;
use crate::{Body, Delta, Effect, Member, Message, Sender, State, Summary};

const MAX_SUMMARIES: usize = 4;
/// Size of a message with the longest names and one delta.
const MIN_MESSAGE_BYTES: usize = 896;
/// Reserved for the host name at which an ack ends its list of states.
const CURSOR_BYTES: usize = 64;
/// Limits the work per message; a message of the largest size holds fewer deltas.
const MAX_DELTAS: usize = 64;

impl Member {
    /// Sends a message filled up with as many deltas as fit.
    pub(crate) fn send(&mut self, now: Instant, to: &HostId, body: Body) {
        self.send_message(now, to, body, None);
    }

    /// Acknowledges a probe and adds the host states that it requests.
    fn send_ack(&mut self, now: Instant, to: &HostId, seq: u64, after: Option<Cursor>) {
        let body = Body::Ack { seq, until: None };
        self.send_message(now, to, body, after);
    }

    fn send_message(&mut self, now: Instant, to: &HostId, body: Body, after: Option<Cursor>) {
        let Some(sender) = self.sender(now) else {
            return;
        };
        let local_zone = &self.settings.local.zone;
        let view = self.roster.get(to);
        let same_zone = view.is_some_and(|view| view.info.zone == *local_zone);
        // Comes first, so that a receiver wrongly considered suspect or dead can refute it.
        let receiver_delta = view
            .filter(|view| matches!(view.state, State::Suspect | State::Dead))
            .map(delta_of);
        // While the receiver catches up, host states take the space of the summaries.
        let zones = match after {
            Some(_) => Vec::new(),
            None => self.summaries(now, same_zone),
        };
        let mut message = Message {
            body,
            sender,
            fresh: self.fresh.to_message(now),
            adoption: same_zone.then(|| self.adoption.clone()),
            zones,
            deltas: receiver_delta.into_iter().collect(),
        };
        let mut budget = self.budget(&message);
        if let (Some(after), Body::Ack { until, .. }) = (after, &mut message.body) {
            *until = self.append_states(&after, &mut budget, &mut message.deltas);
        }
        let gossip = self.gossip.take(&mut budget, &self.roster);
        message.deltas.extend(gossip);
        message.deltas.extend(self.refresh_delta(budget));
        let to = to.clone();
        self.effects.push_back(Effect::Send { to, message });
    }

    /// Returns the state of the next host in rotation (anti-entropy), so that updates which gossip
    /// did not deliver to every host still arrive.
    fn refresh_delta(&mut self, budget: usize) -> Option<Delta> {
        let views = self.roster.after(None);
        self.refresh_index = (self.refresh_index + 1).checked_rem(views.len())?;
        let view = &views[self.refresh_index];
        Some(delta_of(view)).filter(|delta| delta.state != State::Unknown && delta.size() <= budget)
    }

    /// Returns how many bytes are left for deltas.
    fn budget(&self, message: &Message) -> usize {
        let max = self.settings.message_max.max(MIN_MESSAGE_BYTES);
        max.saturating_sub(message.size())
    }

    fn sender(&self, now: Instant) -> Option<Sender> {
        let local = self.roster.get(&self.settings.local.host)?;
        let contact = self.zone_contact();
        Some(Sender {
            incarnation: local.incarnation,
            version: local.version,
            state: local.state,
            epoch: local.epoch,
            free: local.free,
            contact: contact.map(|at| now.saturating_duration_since(at)),
        })
    }

    /// Returns summaries of other zones in rotation, after the local zone's summary unless the
    /// receiver is in the local zone.
    fn summaries(&mut self, now: Instant, same_zone: bool) -> Vec<Summary> {
        let local = (!same_zone).then(|| self.local_zone(now).summary(now));
        let mut others: Vec<Summary> = self.heard_zones(now).map(|v| v.summary(now)).collect();
        others.sort_by(|a, b| a.zone.cmp(&b.zone));
        let count = others.len().min(MAX_SUMMARIES - usize::from(!same_zone));
        let start = self.summary_index.checked_rem(others.len()).unwrap_or(0);
        self.summary_index = start + count;
        others.rotate_left(start);
        others.truncate(count);
        local.into_iter().chain(others).collect()
    }

    /// Appends the states of the hosts that follow `after`.
    ///
    /// Returns the last host covered if there are more.
    fn append_states(
        &self,
        after: &Cursor,
        budget: &mut usize,
        deltas: &mut Vec<Delta>,
    ) -> Option<HostId> {
        *budget = budget.saturating_sub(CURSOR_BYTES);
        let after = match after {
            Cursor::Start => None,
            Cursor::Host(host) => Some(host),
        };
        let mut last = after.cloned();
        for view in self.roster.after(after) {
            if view.state != State::Unknown {
                let delta = delta_of(view);
                if delta.size() > *budget {
                    return last;
                }
                *budget -= delta.size();
                deltas.push(delta);
            }
            last = Some(view.info.host.clone());
        }
        None
    }

    /// Processes a message.
    pub(crate) fn receive(&mut self, now: Instant, from: &HostId, message: Message) {
        if self.replaced_by.is_some() || *from == self.settings.local.host {
            return;
        }
        let Message {
            body,
            sender,
            fresh,
            adoption,
            zones,
            deltas,
        } = message;
        if !self.receive_sender(now, from, &sender) {
            return;
        }
        let probe_sent = match &body {
            Body::Ack { seq, .. } => self.receive_ack(now, from, *seq),
            _ => None,
        };
        if let Some(sent) = probe_sent {
            self.ages_untrusted = false;
            // An ack reports state that is at least as recent as the sending of its probe.
            if let Some(at) = fresh.and_then(|fresh| sent.checked_sub(fresh.age)) {
                let epoch = fresh.map(|fresh| fresh.epoch).unwrap_or_default();
                let any_epoch = self.settings.has_mutant(Mutant::AnyEpoch);
                let adopted = self.fresh.adopted();
                self.fresh
                    .record_head(if any_epoch { adopted } else { epoch }, at);
            }
        }
        if !self.ages_untrusted {
            let at = probe_sent.unwrap_or(now);
            self.receive_summaries(at, from, &sender, zones);
        }
        if let Some(adoption) = adoption.filter(|_| self.is_in_local_zone(from)) {
            self.adoption.merge(&adoption);
        }
        self.record_adoption(from, sender.epoch);
        for delta in deltas.iter().take(MAX_DELTAS) {
            self.apply_delta(now, delta);
        }
        match body {
            Body::Probe { seq, after } => self.send_ack(now, from, seq, after),
            Body::Ack { until, .. } if probe_sent.is_some() => self.advance_cursor(until),
            Body::IndirectProbe { seq, target } => self.probe_for(now, from.clone(), seq, &target),
            Body::IndirectAck { seq, target } => {
                self.complete_probe(&target, seq);
            }
            Body::Ack { .. } | Body::Gossip => {}
        }
    }

    /// Applies the sender's own state. Returns `false` if the sender is not listed or is an older
    /// incarnation of its host.
    fn receive_sender(&mut self, now: Instant, from: &HostId, sender: &Sender) -> bool {
        let Some(view) = self.roster.get(from) else {
            return false;
        };
        let is_older = sender.incarnation < view.incarnation;
        if is_older && !self.settings.has_mutant(Mutant::OldIncarnation) {
            let (to, body) = (from.clone(), Body::Gossip);
            self.notify_replaced(now, &to, body);
            return false;
        }
        if matches!(sender.state, State::Alive | State::Leaving) {
            self.apply_delta(
                now,
                &Delta {
                    host: from.clone(),
                    incarnation: sender.incarnation,
                    version: sender.version,
                    state: sender.state,
                },
            );
        }
        if let Some(view) = self.roster.get_mut(from) {
            view.last_heard = Some(now);
            view.epoch = sender.epoch;
            view.free = sender.free;
        }
        true
    }

    /// Tells an older incarnation of a host that a newer one is running.
    fn notify_replaced(&mut self, now: Instant, to: &HostId, body: Body) {
        if let Some(view) = self.roster.get(to) {
            let delta = delta_of(view);
            let Some(sender) = self.sender(now) else {
                return;
            };
            let message = Message {
                body,
                sender,
                fresh: None,
                adoption: None,
                zones: Vec::new(),
                deltas: vec![delta],
            };
            let to = to.clone();
            self.effects.push_back(Effect::Send { to, message });
        }
    }

    fn receive_summaries(
        &mut self,
        at: Instant,
        from: &HostId,
        sender: &Sender,
        zones: Vec<Summary>,
    ) {
        if self.is_in_local_zone(from) {
            let contact = sender.contact.and_then(|age| at.checked_sub(age));
            self.peer_contact = self.peer_contact.max(contact);
        }
        for summary in zones.into_iter().take(MAX_SUMMARIES) {
            self.record_summary(summary, at);
        }
    }

    fn is_in_local_zone(&self, host: &HostId) -> bool {
        let zone = &self.settings.local.zone;
        let view = self.roster.get(host);
        view.is_some_and(|view| view.info.zone == *zone)
    }
}
