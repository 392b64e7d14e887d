//! How messages are built and taken in.

use std::time::Instant;

use wagtail_types::HostId;

use crate::gossip::delta;
use crate::message::Cursor;
use crate::settings::Mutant;
use crate::{Body, Delta, Effect, Member, Message, Sender, State, Summary};

const SUMMARIES: usize = 4;
/// What a message with the longest names and one piece of news takes.
const MESSAGE_MIN: usize = 896;
/// The longest host name that an answer ends a list with.
const CURSOR_BYTES: usize = 64;
/// More than any message of the largest size can hold.
const DELTAS_MAX: usize = 64;

impl Member {
    /// Sends a message with as much news as fits.
    pub(crate) fn send(&mut self, now: Instant, to: &HostId, body: Body) {
        self.send_filled(now, to, body, None);
    }

    /// Answers a probe, with the states that it asks for.
    fn answer(&mut self, now: Instant, to: &HostId, seq: u64, after: Option<Cursor>) {
        let body = Body::Ack { seq, until: None };
        self.send_filled(now, to, body, after);
    }

    fn send_filled(&mut self, now: Instant, to: &HostId, body: Body, after: Option<Cursor>) {
        let Some(sender) = self.sender(now) else {
            return;
        };
        let own_zone = &self.settings.own.zone;
        let view = self.roster.get(to);
        let near = view.is_some_and(|view| view.info.zone == *own_zone);
        // A host that is wrongly held for dead hears so first, and can refute it.
        let about = view
            .filter(|view| matches!(view.state, State::Suspect | State::Dead))
            .map(delta);
        // A host that catches up needs the room more than summaries do.
        let zones = match after {
            Some(_) => Vec::new(),
            None => self.summaries(now, near),
        };
        let mut message = Message {
            body,
            sender,
            fresh: self.fresh.share(now),
            adoption: near.then(|| self.adoption.clone()),
            zones,
            deltas: about.into_iter().collect(),
        };
        let mut room = self.room(&message);
        if let (Some(after), Body::Ack { until, .. }) = (after, &mut message.body) {
            *until = self.fill(&after, &mut room, &mut message.deltas);
        }
        let news = self.gossip.take(&mut room, &self.roster);
        message.deltas.extend(news);
        message.deltas.extend(self.reminder(room));
        let to = to.clone();
        self.effects.push_back(Effect::Send { to, message });
    }

    /// The state of one host in turn, so that news that did not reach everyone still does.
    fn reminder(&mut self, room: usize) -> Option<Delta> {
        let views = self.roster.after(None);
        self.next_reminder = (self.next_reminder + 1).checked_rem(views.len())?;
        let view = &views[self.next_reminder];
        Some(delta(view)).filter(|delta| delta.state != State::Unknown && delta.size() <= room)
    }

    fn room(&self, message: &Message) -> usize {
        let max = self.settings.message_max.max(MESSAGE_MIN);
        max.saturating_sub(message.size())
    }

    fn sender(&self, now: Instant) -> Option<Sender> {
        let own = self.roster.get(&self.settings.own.host)?;
        let contact = self.zone_contact();
        Some(Sender {
            incarnation: own.incarnation,
            version: own.version,
            state: own.state,
            epoch: own.epoch,
            free: own.free,
            contact: contact.map(|at| now.saturating_duration_since(at)),
        })
    }

    /// The summaries of other zones in turn, after that of the own zone where it is not known.
    fn summaries(&mut self, now: Instant, near: bool) -> Vec<Summary> {
        let own = (!near).then(|| self.own_zone(now).summary(now));
        let mut others: Vec<Summary> = self.heard(now).map(|v| v.summary(now)).collect();
        others.sort_by(|a, b| a.zone.cmp(&b.zone));
        let count = others.len().min(SUMMARIES - usize::from(!near));
        let start = self.next_zone.checked_rem(others.len()).unwrap_or(0);
        self.next_zone = start + count;
        others.rotate_left(start);
        others.truncate(count);
        own.into_iter().chain(others).collect()
    }

    /// Adds the states of hosts after `after`; tells the last one where there are more.
    fn fill(&self, after: &Cursor, room: &mut usize, deltas: &mut Vec<Delta>) -> Option<HostId> {
        *room = room.saturating_sub(CURSOR_BYTES);
        let after = match after {
            Cursor::Start => None,
            Cursor::Host(host) => Some(host),
        };
        let mut last = after.cloned();
        for view in self.roster.after(after) {
            if view.state != State::Unknown {
                let delta = delta(view);
                if delta.size() > *room {
                    return last;
                }
                *room -= delta.size();
                deltas.push(delta);
            }
            last = Some(view.info.host.clone());
        }
        None
    }

    /// Takes in a message.
    pub(crate) fn receive(&mut self, now: Instant, from: &HostId, message: Message) {
        if self.replaced_by.is_some() || *from == self.settings.own.host {
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
        if !self.hear(now, from, &sender) {
            return;
        }
        let answered = match &body {
            Body::Ack { seq, .. } => self.acked(now, from, *seq),
            _ => None,
        };
        if let Some(sent) = answered {
            self.undated = false;
            // The state in an answer is at least as late as the question.
            if let Some(at) = fresh.and_then(|fresh| sent.checked_sub(fresh.age)) {
                let epoch = fresh.map(|fresh| fresh.epoch).unwrap_or_default();
                let any = self.settings.broken(Mutant::AnyEpoch);
                let adopted = self.fresh.adopted();
                self.fresh.note(if any { adopted } else { epoch }, at);
            }
        }
        if !self.undated {
            let at = answered.unwrap_or(now);
            self.hear_zones(at, from, &sender, zones);
        }
        if let Some(adoption) = adoption.filter(|_| self.is_mate(from)) {
            self.adoption.merge(&adoption);
        }
        self.note_adoption(from, sender.epoch);
        for delta in deltas.iter().take(DELTAS_MAX) {
            self.learn(now, delta);
        }
        match body {
            Body::Probe { seq, after } => self.answer(now, from, seq, after),
            Body::Ack { until, .. } if answered.is_some() => self.caught_up(until),
            Body::Ask { seq, target } => self.help(now, from.clone(), seq, &target),
            Body::Told { seq, target } => {
                self.end_probe(&target, seq);
            }
            Body::Ack { .. } | Body::News => {}
        }
    }

    /// Takes in what a host says of itself; false where it is unknown or an earlier life.
    fn hear(&mut self, now: Instant, from: &HostId, sender: &Sender) -> bool {
        let Some(view) = self.roster.get(from) else {
            return false;
        };
        let old = sender.incarnation < view.incarnation;
        if old && !self.settings.broken(Mutant::OldLife) {
            let (to, body) = (from.clone(), Body::News);
            self.tell_replaced(now, &to, body);
            return false;
        }
        if matches!(sender.state, State::Alive | State::Leaving) {
            self.learn(
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
            view.heard = Some(now);
            view.epoch = sender.epoch;
            view.free = sender.free;
        }
        true
    }

    /// Lets an earlier life of a host know that a later one is there.
    fn tell_replaced(&mut self, now: Instant, to: &HostId, body: Body) {
        if let Some(view) = self.roster.get(to) {
            let news = delta(view);
            let Some(sender) = self.sender(now) else {
                return;
            };
            let message = Message {
                body,
                sender,
                fresh: None,
                adoption: None,
                zones: Vec::new(),
                deltas: vec![news],
            };
            let to = to.clone();
            self.effects.push_back(Effect::Send { to, message });
        }
    }

    fn hear_zones(&mut self, at: Instant, from: &HostId, sender: &Sender, zones: Vec<Summary>) {
        if self.is_mate(from) {
            let contact = sender.contact.and_then(|age| at.checked_sub(age));
            self.mates_contact = self.mates_contact.max(contact);
        }
        for summary in zones.into_iter().take(SUMMARIES) {
            self.note_zone(summary, at);
        }
    }

    fn is_mate(&self, host: &HostId) -> bool {
        let zone = &self.settings.own.zone;
        let view = self.roster.get(host);
        view.is_some_and(|view| view.info.zone == *zone)
    }
}
