//! Relay messages between hosts.

use wagtail_once::ReplyStatus;

use super::op::LinkFault;
use super::{Asked, Checked, End, Fleet, HOSTS, Message, host};

impl Fleet {
    pub(super) fn deliver(&mut self, message: u8, fault: LinkFault) -> Checked {
        if self.links.is_empty() {
            return Ok(());
        }
        let at = usize::from(message) % self.links.len();
        let flying = self.links.swap_remove(at);
        if matches!(fault, LinkFault::Lose) {
            return Ok(());
        }
        if matches!(fault, LinkFault::Repeat) {
            self.links.push(flying.clone());
        }
        match flying.message {
            Message::Relay {
                to,
                life,
                from,
                attempt,
                call,
            } => {
                let Some(id) = self.node_at(to) else {
                    return Ok(());
                };
                let node = self.nodes[id].as_mut().expect("a live node");
                let begin = match &self.calls[call].request {
                    Some(request) => node.once.receive(self.now, attempt, life, request),
                    None => node.once.receive_bare(self.now, attempt, life),
                };
                let asked = Asked {
                    call,
                    relay: Some((from, attempt)),
                };
                self.go_on(id, asked, begin, true)
            }
            Message::Reply {
                to,
                attempt,
                call,
                end,
            } => {
                let Some(node) = self.nodes[to].as_mut() else {
                    return Ok(());
                };
                match node.relays.answered(attempt) {
                    ReplyStatus::First => self.tell(call, &end),
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
        if let Some((to, life)) = node.relays.begin_send(now, attempt) {
            let to = to.clone();
            let to = (0..HOSTS).find(|index| host(*index) == to).expect("a host");
            let from = id;
            self.fly(Message::Relay {
                to,
                life,
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
        let asked = Asked { call, relay: None };
        verdict.map_or(Ok(()), |verdict| self.end(asked, End::Refused(verdict)))
    }
}
