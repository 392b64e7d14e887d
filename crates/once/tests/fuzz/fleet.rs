//! A few hosts over a fake table and fake links, with an oracle that counts runs.

mod link;
mod op;
mod table;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_once::{
    Answer, Begin, ClaimRow, Effect, Fingerprint, Input, IssuedKey, Key, Mutant, Once, Outcome,
    PendingRelays, Permit, Request, Resolution, Settings, Ticket,
};
use wagtail_types::{AttemptId, Bytes, Cause, HostId, Incarnation, Reason, Verdict};

pub(crate) use op::{How, Op, op};

const HOSTS: usize = 3;
const KEEP: Duration = Duration::from_secs(20);
const KEY_LIFE: Duration = Duration::from_secs(10);
const RELAY_LIFE: Duration = Duration::from_secs(5);
const SEED: u64 = 11;

struct Node {
    life: Incarnation,
    once: Once,
    relays: PendingRelays,
    /// Which call, and which incoming relay, waits with a ticket.
    tickets: HashMap<Ticket, Asked>,
}

/// A request at a host: the caller's own, or one relayed by another node.
#[derive(Debug, Clone, Copy)]
struct Asked {
    call: usize,
    relay: Option<(usize, AttemptId)>,
}

struct Running {
    node: usize,
    permit: Permit,
    asked: Asked,
}

/// A key as the oracle sees it.
struct Subject {
    key: Option<Key>,
    runs: usize,
    /// The call that it runs or ran for.
    ran_by: Option<usize>,
    done: Option<(usize, Instant, Answer)>,
}

struct Call {
    subject: usize,
    request: Option<Request>,
    other: bool,
    /// The first decision on it, which may not have reached the caller.
    judged: Option<End>,
    end: Option<End>,
}

#[derive(Debug, Clone, PartialEq)]
enum End {
    Answer(Answer),
    Refused(Verdict),
    Broken,
}

#[derive(Clone)]
enum Message {
    Relay {
        to: usize,
        life: Incarnation,
        from: usize,
        attempt: AttemptId,
        call: usize,
    },
    Reply {
        to: usize,
        attempt: AttemptId,
        call: usize,
        end: End,
    },
}

#[derive(Clone)]
struct Flying {
    message: Message,
    sent: Instant,
}

struct TableOp {
    node: usize,
    claim: AttemptId,
    row: ClaimRow,
    read: bool,
}

type Violation = String;
type Checked = Result<(), Violation>;

pub(crate) struct Fleet {
    now: Instant,
    settings: Settings,
    nodes: Vec<Option<Node>>,
    address: [Option<usize>; HOSTS],
    lives: u64,
    subjects: Vec<Subject>,
    calls: Vec<Call>,
    running: Vec<Running>,
    links: Vec<Flying>,
    attempts: Vec<(usize, AttemptId, usize)>,
    table_ops: Vec<TableOp>,
    late: Vec<(AttemptId, ClaimRow)>,
    rows: HashMap<String, (AttemptId, HostId, Incarnation)>,
    answers: u64,
}

fn host(index: usize) -> HostId {
    format!("h{index}").parse().expect("a host name")
}

impl Fleet {
    pub(crate) fn new(slots: usize, mutant: Option<Mutant>) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            settings: Settings {
                keep: KEEP,
                key_life: KEY_LIFE,
                relay_ttl: RELAY_LIFE,
                answer_max: Bytes(72),
                memory: Bytes((512 + 72) * slots as u64 / 3 * 4),
                executed_max: 3,
                checksum_seed: SEED,
                mutant,
                ..Settings::default()
            },
            nodes: Vec::new(),
            address: [None; HOSTS],
            lives: 0,
            subjects: Vec::new(),
            calls: Vec::new(),
            running: Vec::new(),
            links: Vec::new(),
            attempts: Vec::new(),
            table_ops: Vec::new(),
            late: Vec::new(),
            rows: HashMap::new(),
            answers: 0,
        };
        for index in 0..HOSTS {
            fleet.start(index);
        }
        for about in 0..HOSTS {
            for index in 0..HOSTS {
                fleet.news(index, about, false);
            }
        }
        for key in ["k0", "k1"] {
            fleet.add_key(key.parse().expect("a key"));
        }
        fleet.issue(0);
        let forged = IssuedKey::new(host(1), Incarnation(2), 1 << 40, SEED);
        fleet.add_key(Key::Issued(forged));
        let foreign = IssuedKey::new(host(1), Incarnation(2), 0, SEED + 1);
        fleet.add_key(Key::Issued(foreign));
        fleet
    }

    pub(crate) fn apply(&mut self, op: &Op) -> Checked {
        match *op {
            Op::Issue { host } => self.issue(usize::from(host) % HOSTS),
            Op::Begin {
                host,
                key,
                other,
                connect,
            } => self.call(host, key, other, connect)?,
            Op::Bare { from, to } => self.bare(from, to),
            Op::Finish { permit, how } => self.finish(permit, how),
            Op::Table { op, fault } => self.table(op, fault),
            Op::LateWrite => {
                if let Some((claim, row)) = self.late.pop() {
                    self.write(claim, &row);
                }
            }
            Op::Deliver { message, fault } => self.deliver(message, fault)?,
            Op::Resend { attempt } => self.resend(attempt),
            Op::GiveUp { attempt } => self.give_up(attempt)?,
            Op::Cancel { call } => self.cancel(call),
            Op::Crash { host } => {
                let index = usize::from(host) % HOSTS;
                self.crash(index);
                self.start(index);
            }
            // The old life is paused and wakes later.
            Op::Replace { host } => self.start(usize::from(host) % HOSTS),
            Op::News { host, about, dead } => {
                self.news(usize::from(host) % HOSTS, usize::from(about) % HOSTS, dead);
            }
            Op::Advance { seconds } => self.advance(seconds),
        }
        self.drain()
    }

    fn add_key(&mut self, key: Key) {
        self.subjects.push(Subject {
            key: Some(key),
            runs: 0,
            ran_by: None,
            done: None,
        });
    }

    fn start(&mut self, index: usize) {
        self.lives += 1;
        let life = Incarnation(self.lives);
        let once = Once::new(
            self.settings.clone(),
            host(index),
            life,
            self.lives,
            self.now,
        );
        self.address[index] = Some(self.nodes.len());
        self.nodes.push(Some(Node {
            life,
            once,
            relays: PendingRelays::new(RELAY_LIFE, self.lives + 1000),
            tickets: HashMap::new(),
        }));
    }

    fn crash(&mut self, index: usize) {
        let Some(id) = self.address[index].take() else {
            return;
        };
        let node = self.nodes[id]
            .take()
            .expect("the node at an address is there");
        for asked in node.tickets.values() {
            if asked.relay.is_none() {
                self.calls[asked.call].end.get_or_insert(End::Broken);
            }
        }
        for (_, _, call) in self.attempts.iter().filter(|(n, _, _)| *n == id) {
            self.calls[*call].end.get_or_insert(End::Broken);
        }
        // What ran there counts as run.
        for running in self.running.extract_if(.., |running| running.node == id) {
            if running.asked.relay.is_none() {
                self.calls[running.asked.call]
                    .end
                    .get_or_insert(End::Broken);
            }
            std::mem::forget(running.permit);
        }
    }

    fn issue(&mut self, index: usize) {
        let Some(node) = self.node_at(index) else {
            return;
        };
        let now = self.now;
        let node = self.nodes[node].as_mut().expect("a live node");
        for key in node.once.issue(now, 2) {
            assert!(key.to_string().parse::<Key>().is_ok());
            self.add_key(Key::Issued(key));
        }
    }

    fn node_at(&self, index: usize) -> Option<usize> {
        self.address[index].filter(|id| self.nodes[*id].is_some())
    }

    fn news(&mut self, index: usize, about: usize, dead: bool) {
        let life = self
            .node_at(about)
            .and_then(|id| self.nodes[id].as_ref())
            .map(|n| n.life);
        let Some(id) = self.node_at(index) else {
            return;
        };
        let input = Input::Host {
            host: host(about),
            incarnation: life.filter(|_| !dead),
        };
        self.nodes[id]
            .as_mut()
            .expect("a live node")
            .once
            .handle(self.now, input);
    }

    fn call(&mut self, index: u8, key: u8, other: bool, connect: bool) -> Checked {
        // Late keys are picked more often: they are the ones that still live.
        let keyed: Vec<usize> = (0..self.subjects.len())
            .filter(|s| self.subjects[*s].key.is_some())
            .collect();
        let back = usize::from(key) % keyed.len().min(8);
        let subject = if key < 96 {
            keyed[usize::from(key) % 2]
        } else {
            keyed[keyed.len() - 1 - back]
        };
        let Some(id) = self.node_at(usize::from(index) % HOSTS) else {
            return Ok(());
        };
        let not_run = |end: &Option<End>| matches!(end, Some(End::Refused(v)) if v.is_not_run());
        let repeat = self
            .calls
            .iter()
            .any(|c| c.subject == subject && !not_run(&c.end));
        let body: &[u8] = if other { b"other" } else { b"same" };
        let request = Request {
            team: "team".parse().expect("a team"),
            service: "service".parse().expect("a service"),
            key: self.subjects[subject].key.clone().expect("a key"),
            print: Fingerprint::of("POST", "/", body),
            repeat,
        };
        let call = self.calls.len();
        self.calls.push(Call {
            subject,
            request: Some(request.clone()),
            other,
            judged: None,
            end: None,
        });
        let begin = self.nodes[id]
            .as_mut()
            .expect("a live node")
            .once
            .begin(self.now, &request);
        if let Some((node, at, answer)) = &self.subjects[subject].done
            && *node == id
            && self.now < *at + KEEP
            && answer.headers.is_empty() == other
            && !matches!(&begin, Begin::Replay(got) if got == answer)
        {
            return Err(format!("no replay of a kept answer: {begin:?}"));
        }
        let asked = Asked { call, relay: None };
        self.go_on(id, asked, begin, connect)
    }

    fn bare(&mut self, from: u8, to: u8) {
        let (from, to) = (usize::from(from) % HOSTS, usize::from(to) % HOSTS);
        let Some(id) = self.node_at(from).filter(|_| from != to) else {
            return;
        };
        let subject = self.subjects.len();
        self.subjects.push(Subject {
            key: None,
            runs: 0,
            ran_by: None,
            done: None,
        });
        let call = self.calls.len();
        self.calls.push(Call {
            subject,
            request: None,
            other: false,
            judged: None,
            end: None,
        });
        self.relay(id, call, to, true);
    }

    fn relay(&mut self, id: usize, call: usize, to: usize, connect: bool) {
        let now = self.now;
        let repeat = self.calls[call].request.as_ref().is_some_and(|r| r.repeat);
        let peer = self.node_at(to).and_then(|id| self.nodes[id].as_ref());
        let (life, connect) = peer.map_or((Incarnation(0), false), |peer| (peer.life, connect));
        let node = self.nodes[id].as_mut().expect("a live node");
        let attempt = node.relays.open(now, host(to), life, repeat);
        self.attempts.push((id, attempt, call));
        assert!(node.relays.begin_send(now, attempt).is_some());
        if connect {
            let from = id;
            self.fly(Message::Relay {
                to,
                life,
                from,
                attempt,
                call,
            });
        } else {
            node.relays.cancel_send(attempt);
        }
    }

    fn fly(&mut self, message: Message) {
        let sent = self.now;
        self.links.push(Flying { message, sent });
    }

    fn go_on(&mut self, id: usize, asked: Asked, begin: Begin, connect: bool) -> Checked {
        match begin {
            Begin::Run(permit) => self.run(id, asked, permit),
            Begin::Wait(ticket) | Begin::Claiming(ticket) => {
                let node = self.nodes[id].as_mut().expect("a live node");
                node.tickets.insert(ticket, asked);
                Ok(())
            }
            Begin::Replay(answer) => self.end(asked, End::Answer(answer)),
            Begin::Refuse(verdict) => self.end(asked, End::Refused(verdict)),
            Begin::Relay { host: to } => {
                if asked.relay.is_some() {
                    return Err("a relayed request was relayed again".into());
                }
                let to = (0..HOSTS).find(|index| host(*index) == to).expect("a host");
                self.relay(id, asked.call, to, connect);
                Ok(())
            }
        }
    }

    fn run(&mut self, node: usize, asked: Asked, permit: Permit) -> Checked {
        let call = &self.calls[asked.call];
        if matches!(&call.end, Some(End::Refused(v)) if v.is_not_run()) {
            std::mem::forget(permit);
            return Err("ran after not-run".into());
        }
        let subject = &mut self.subjects[call.subject];
        subject.runs += 1;
        subject.ran_by = Some(asked.call);
        let runs = subject.runs;
        self.running.push(Running {
            node,
            permit,
            asked,
        });
        if runs > 1 {
            return Err(format!("ran {runs} times"));
        }
        Ok(())
    }

    /// A request at a node has ended: tell the caller, or the node that relayed it.
    fn end(&mut self, asked: Asked, end: End) -> Checked {
        self.judge(asked.call, &end)?;
        match asked.relay {
            Some((to, attempt)) => {
                let call = asked.call;
                self.fly(Message::Reply {
                    to,
                    attempt,
                    call,
                    end,
                });
                Ok(())
            }
            None => self.tell(asked.call, &end),
        }
    }

    /// A refusal speaks for its own attempt, and for those before it up to when it is decided.
    fn judge(&mut self, call: usize, end: &End) -> Checked {
        let subject = &self.subjects[self.calls[call].subject];
        let ran = subject.ran_by.is_some_and(|by| by <= call);
        let judged = &mut self.calls[call].judged;
        let misuse = End::Refused(Verdict::not_run(Reason::BadRequest, None));
        let not_run = matches!(end, End::Refused(verdict) if verdict.is_not_run());
        if ran && not_run && *end != misuse && judged.as_ref() != Some(end) {
            return Err(format!("not-run of a key that may have run: {end:?}"));
        }
        judged.get_or_insert(end.clone());
        Ok(())
    }

    fn tell(&mut self, call: usize, end: &End) -> Checked {
        let subject = &self.subjects[self.calls[call].subject];
        let call = &mut self.calls[call];
        if call.end.is_some() {
            return Ok(());
        }
        let error = match end {
            End::Answer(answer) if call.other != answer.headers.is_empty() => {
                Some("the answer to another request under the key")
            }
            End::Answer(answer) => match &subject.done {
                Some((_, _, want)) if want == answer => None,
                _ => Some("not the answer of the attempt that ran"),
            },
            _ => None,
        };
        call.end = Some(end.clone());
        error.map_or(Ok(()), |error| Err(format!("{error}: {end:?}")))
    }

    fn finish(&mut self, permit: u8, how: How) {
        if self.running.is_empty() {
            return;
        }
        let at = usize::from(permit) % self.running.len();
        let Running {
            node,
            permit,
            asked,
        } = self.running.swap_remove(at);
        let call = &self.calls[asked.call];
        let subject = &mut self.subjects[call.subject];
        self.answers += 1;
        // The header list tells which of the two contents was answered.
        let headers = if call.other {
            vec![]
        } else {
            vec![("x".to_owned(), "y".into())]
        };
        let body = format!(
            "{:0width$}",
            self.answers,
            width = if matches!(how, How::Large) { 80 } else { 4 }
        );
        let answer = Answer::new(200, headers, body);
        let mut answer = answer;
        if matches!(how, How::Answer) {
            answer.body = answer.body.slice(..answer.body.len().min(4));
        }
        let (outcome, end) = match how {
            How::Answer | How::Large => {
                let kept = matches!(how, How::Answer);
                subject.done = Some((
                    if kept { node } else { usize::MAX },
                    self.now,
                    answer.clone(),
                ));
                (Some(Outcome::Answer(answer.clone())), End::Answer(answer))
            }
            How::NotRun => {
                subject.runs -= 1;
                subject.ran_by = None;
                let verdict = Verdict::not_run(Reason::Overloaded, None);
                (
                    Some(Outcome::NotRun(verdict.clone())),
                    End::Refused(verdict),
                )
            }
            How::Unknown => {
                let verdict = Verdict::may_have_run(Cause::Timeout);
                (
                    Some(Outcome::Unknown(Cause::Timeout)),
                    End::Refused(verdict),
                )
            }
            How::Drop => (None, End::Broken),
        };
        let now = self.now;
        match outcome {
            Some(outcome) => {
                let owner = self.nodes[node]
                    .as_mut()
                    .expect("a node that runs something");
                owner.once.finish(now, permit, outcome);
            }
            None => drop(permit),
        }
        let verdict = self.end(asked, end);
        assert_eq!(verdict, Ok(()), "the runner's own verdict");
    }

    fn cancel(&mut self, pick: u8) {
        let waiting = self.nodes.iter_mut().flatten().flat_map(|node| {
            let tickets: Vec<_> = node.tickets.keys().copied().collect();
            tickets.into_iter().map(move |ticket| (node.life, ticket))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        if waiting.is_empty() {
            return;
        }
        let (life, ticket) = waiting[usize::from(pick) % waiting.len()];
        let node = self
            .nodes
            .iter_mut()
            .flatten()
            .find(|n| n.life == life)
            .expect("a node");
        node.once.handle(self.now, Input::Cancelled { ticket });
        let asked = node.tickets.remove(&ticket).expect("a ticket");
        if asked.relay.is_none() {
            self.calls[asked.call].end.get_or_insert(End::Broken);
        }
    }

    fn advance(&mut self, seconds: u8) {
        self.now += Duration::from_secs(seconds.into());
        let now = self.now;
        // A connection does not outlive the time that a message may be under way.
        self.links.retain(|flying| now < flying.sent + RELAY_LIFE);
        for id in self.address.iter().flatten() {
            if let Some(node) = self.nodes[*id].as_mut() {
                node.once.tick(now);
            }
        }
    }

    /// Carries out what the machines ask for.
    fn drain(&mut self) -> Checked {
        for id in 0..self.nodes.len() {
            while let Some(node) = self.nodes[id].as_mut() {
                let Some(effect) = node.once.poll_effect() else {
                    break;
                };
                match effect {
                    Effect::Claim { claim, row } => {
                        self.table_ops.push(TableOp {
                            node: id,
                            claim,
                            row,
                            read: false,
                        });
                    }
                    Effect::ReadClaim { claim, row } => {
                        self.table_ops.push(TableOp {
                            node: id,
                            claim,
                            row,
                            read: true,
                        });
                    }
                    Effect::Resolve { ticket, to } => {
                        let Some(asked) = node.tickets.remove(&ticket) else {
                            return Err(format!("{ticket} resolved twice"));
                        };
                        let begin = match to {
                            Resolution::Run(permit) => Begin::Run(permit),
                            Resolution::Answer(answer) => Begin::Replay(answer),
                            Resolution::Relay { host } => Begin::Relay { host },
                            Resolution::Refuse(verdict) => Begin::Refuse(verdict),
                        };
                        self.go_on(id, asked, begin, true)?;
                    }
                }
            }
            if let Some(node) = &self.nodes[id] {
                assert!(node.once.used() <= self.settings.memory);
            }
        }
        Ok(())
    }
}
