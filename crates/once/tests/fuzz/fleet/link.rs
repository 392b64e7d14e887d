//! Delivers and resends relay messages between hosts.

use wagtail_once::ReplyStatus;

use super::op::LinkFault;
use super::{CallResult, Checked, Fleet, HOSTS, Message, Origin, host};

impl Fleet {
    pub(super) fn deliver(&mut self, message: u8, fault: LinkFault) -> Checked {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = usize::from(message) % self.in_flight.len();
        let sent_message = self.in_flight.swap_remove(at);
        if matches!(fault, LinkFault::Lose) {
            return Ok(());
        }
        if matches!(fault, LinkFault::Repeat) {
            self.in_flight.push(sent_message.clone());
        }
        match sent_message.message {
            Message::Relay {
                to,
                incarnation,
                from,
                attempt,
                call,
            } => {
                let Some(id) = self.node_at(to) else {
                    return Ok(());
                };
                let node = self.nodes[id].as_mut().expect("a live node");
                let decision = match &self.calls[call].request {
                    Some(request) => node.dedup.receive(self.now, attempt, incarnation, request),
                    None => node.dedup.receive_unkeyed(self.now, attempt, incarnation),
                };
                let origin = Origin {
                    call,
                    relay: Some((from, attempt)),
                };
                self.apply_decision(id, origin, decision, true)
            }
            Message::Reply {
                to,
                attempt,
                call,
                result,
            } => {
                let Some(node) = self.nodes[to].as_mut() else {
                    return Ok(());
                };
                match node.relays.answered(attempt) {
                    ReplyStatus::First => self.deliver_result(call, &result),
                    ReplyStatus::Late => Ok(()),
                }
            }
        }
    }

    pub(super) fn resend(&mut self, attempt: u8) {
        if self.attempts.is_empty() {
            return;
        }
        let (id, attempt, call) = self.attempts[usize::from(attempt) % self.attempts.len()];
        let now = self.now;
        let Some(node) = self.nodes[id].as_mut() else {
            return;
        };
        if let Some((to, incarnation)) = node.relays.begin_send(now, attempt) {
            let to = to.clone();
            let to = (0..HOSTS).find(|index| host(*index) == to).expect("a host");
            let from = id;
            self.send_message(Message::Relay {
                to,
                incarnation,
                from,
                attempt,
                call,
            });
        }
    }

    pub(super) fn give_up(&mut self, attempt: u8) -> Checked {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let (id, attempt, call) = self.attempts[usize::from(attempt) % self.attempts.len()];
        let verdict = self.nodes[id]
            .as_mut()
            .and_then(|node| node.relays.give_up(attempt));
        let origin = Origin { call, relay: None };
        verdict.map_or(Ok(()), |verdict| {
            self.finish_request(origin, CallResult::Refused(verdict))
        })
    }
}
