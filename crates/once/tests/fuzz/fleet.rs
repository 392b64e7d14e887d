//! Simulates a few hosts with a fake table service and a fake network, and an oracle that counts
//! the runs of each key.

mod link;
mod op;
mod table;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_once::{
    Answer, ClaimRow, Decision, Deduplicator, Effect, Fingerprint, Input, IssuedKey, Key, Mutant,
    Outcome, PendingRelays, Permit, Request, Resolution, Settings, Ticket,
};
use wagtail_types::{AttemptId, Bytes, Cause, HostId, Incarnation, Reason, Verdict};

pub(crate) use op::{Ending, Op, op};

const HOSTS: usize = 3;
const RETENTION: Duration = Duration::from_secs(20);
const KEY_TTL: Duration = Duration::from_secs(10);
const RELAY_TTL: Duration = Duration::from_secs(5);
const SEED: u64 = 11;

/// One incarnation of a host.
struct Node {
    incarnation: Incarnation,
    dedup: Deduplicator,
    relays: PendingRelays,
    /// The requests that wait, by ticket.
    tickets: HashMap<Ticket, Origin>,
}

/// Where a request at a host comes from: the call, and the node and attempt if it was relayed.
#[derive(Debug, Clone, Copy)]
struct Origin {
    call: usize,
    relay: Option<(usize, AttemptId)>,
}

/// An attempt that is running.
struct Running {
    node: usize,
    permit: Permit,
    origin: Origin,
}

/// What the oracle knows about one key, or about one request without a key.
struct Record {
    key: Option<Key>,
    runs: usize,
    /// The call whose attempt runs or has run.
    ran_by: Option<usize>,
    /// The node that stores the answer (`usize::MAX` if none does), when it was given, and the
    /// answer.
    answered: Option<(usize, Instant, Answer)>,
}

struct Call {
    record: usize,
    request: Option<Request>,
    other_body: bool,
    /// The first decision on the call, which may not have reached the caller.
    decided: Option<CallResult>,
    result: Option<CallResult>,
}

#[derive(Debug, Clone, PartialEq)]
enum CallResult {
    Answer(Answer),
    Refused(Verdict),
    Broken,
}

#[derive(Clone)]
enum Message {
    Relay {
        to: usize,
        incarnation: Incarnation,
        from: usize,
        attempt: AttemptId,
        call: usize,
    },
    Reply {
        to: usize,
        attempt: AttemptId,
        call: usize,
        result: CallResult,
    },
}

#[derive(Clone)]
struct SentMessage {
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
    /// The node that is the current incarnation of each host.
    current: [Option<usize>; HOSTS],
    incarnations: u64,
    records: Vec<Record>,
    calls: Vec<Call>,
    running: Vec<Running>,
    in_flight: Vec<SentMessage>,
    /// Relayed attempts: sending node, attempt and call.
    attempts: Vec<(usize, AttemptId, usize)>,
    table_ops: Vec<TableOp>,
    delayed_writes: Vec<(AttemptId, ClaimRow)>,
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
                outcome_ttl: RETENTION,
                key_ttl: KEY_TTL,
                relay_ttl: RELAY_TTL,
                answer_max: Bytes(72),
                memory: Bytes((512 + 72) * slots as u64 / 3 * 4),
                executed_max: 3,
                checksum_seed: SEED,
                mutant,
                ..Settings::default()
            },
            nodes: Vec::new(),
            current: [None; HOSTS],
            incarnations: 0,
            records: Vec::new(),
            calls: Vec::new(),
            running: Vec::new(),
            in_flight: Vec::new(),
            attempts: Vec::new(),
            table_ops: Vec::new(),
            delayed_writes: Vec::new(),
            rows: HashMap::new(),
            answers: 0,
        };
        for index in 0..HOSTS {
            fleet.start(index);
        }
        for about in 0..HOSTS {
            for index in 0..HOSTS {
                fleet.update_membership(index, about, false);
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
                other_body,
                connect,
            } => self.begin_call(host, key, other_body, connect)?,
            Op::RelayUnkeyed { from, to } => self.relay_unkeyed(from, to),
            Op::Finish { permit, ending } => self.finish(permit, ending),
            Op::Table { op, fault } => self.complete_table_op(op, fault),
            Op::ApplyDelayed => {
                if let Some((claim, row)) = self.delayed_writes.pop() {
                    self.insert_row(claim, &row);
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
            // The old incarnation is only paused and continues later.
            Op::Replace { host } => self.start(usize::from(host) % HOSTS),
            Op::Membership { host, about, dead } => {
                self.update_membership(usize::from(host) % HOSTS, usize::from(about) % HOSTS, dead);
            }
            Op::Advance { seconds } => self.advance(seconds),
        }
        self.run_effects()
    }

    fn add_key(&mut self, key: Key) {
        self.records.push(Record {
            key: Some(key),
            runs: 0,
            ran_by: None,
            answered: None,
        });
    }

    fn start(&mut self, index: usize) {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        let dedup = Deduplicator::new(
            self.settings.clone(),
            host(index),
            incarnation,
            self.incarnations,
            self.now,
        );
        self.current[index] = Some(self.nodes.len());
        self.nodes.push(Some(Node {
            incarnation,
            dedup,
            relays: PendingRelays::new(RELAY_TTL, self.incarnations + 1000),
            tickets: HashMap::new(),
        }));
    }

    fn crash(&mut self, index: usize) {
        let Some(id) = self.current[index].take() else {
            return;
        };
        let node = self.nodes[id]
            .take()
            .expect("the current node of a host exists");
        for origin in node.tickets.values() {
            if origin.relay.is_none() {
                self.calls[origin.call]
                    .result
                    .get_or_insert(CallResult::Broken);
            }
        }
        for (_, _, call) in self.attempts.iter().filter(|(n, _, _)| *n == id) {
            self.calls[*call].result.get_or_insert(CallResult::Broken);
        }
        // Requests that were running there count as run.
        for running in self.running.extract_if(.., |running| running.node == id) {
            if running.origin.relay.is_none() {
                self.calls[running.origin.call]
                    .result
                    .get_or_insert(CallResult::Broken);
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
        for key in node.dedup.issue(now, 2) {
            assert!(key.to_string().parse::<Key>().is_ok());
            self.add_key(Key::Issued(key));
        }
    }

    fn node_at(&self, index: usize) -> Option<usize> {
        self.current[index].filter(|id| self.nodes[*id].is_some())
    }

    fn update_membership(&mut self, index: usize, about: usize, dead: bool) {
        let incarnation = self
            .node_at(about)
            .and_then(|id| self.nodes[id].as_ref())
            .map(|n| n.incarnation);
        let Some(id) = self.node_at(index) else {
            return;
        };
        let input = Input::Host {
            host: host(about),
            incarnation: incarnation.filter(|_| !dead),
        };
        self.nodes[id]
            .as_mut()
            .expect("a live node")
            .dedup
            .handle(self.now, input);
    }

    fn begin_call(&mut self, index: u8, key: u8, other_body: bool, connect: bool) -> Checked {
        // Recent keys are picked more often because older ones have expired.
        let keyed: Vec<usize> = (0..self.records.len())
            .filter(|index| self.records[*index].key.is_some())
            .collect();
        let from_last = usize::from(key) % keyed.len().min(8);
        let record = if key < 96 {
            keyed[usize::from(key) % 2]
        } else {
            keyed[keyed.len() - 1 - from_last]
        };
        let Some(id) = self.node_at(usize::from(index) % HOSTS) else {
            return Ok(());
        };
        let not_run = |result: &Option<CallResult>| matches!(result, Some(CallResult::Refused(v)) if v.is_not_run());
        let repeat = self
            .calls
            .iter()
            .any(|c| c.record == record && !not_run(&c.result));
        let body: &[u8] = if other_body { b"other" } else { b"same" };
        let request = Request {
            team: "team".parse().expect("a team"),
            service: "service".parse().expect("a service"),
            key: self.records[record].key.clone().expect("a key"),
            fingerprint: Fingerprint::of("POST", "/", body),
            repeat,
        };
        let call = self.calls.len();
        self.calls.push(Call {
            record,
            request: Some(request.clone()),
            other_body,
            decided: None,
            result: None,
        });
        let decision = self.nodes[id]
            .as_mut()
            .expect("a live node")
            .dedup
            .begin(self.now, &request);
        if let Some((node, at, answer)) = &self.records[record].answered
            && *node == id
            && self.now < *at + RETENTION
            && answer.headers.is_empty() == other_body
            && !matches!(&decision, Decision::Replay(got) if got == answer)
        {
            return Err(format!("a stored answer was not replayed: {decision:?}"));
        }
        let origin = Origin { call, relay: None };
        self.apply_decision(id, origin, decision, connect)
    }

    fn relay_unkeyed(&mut self, from: u8, to: u8) {
        let (from, to) = (usize::from(from) % HOSTS, usize::from(to) % HOSTS);
        let Some(id) = self.node_at(from).filter(|_| from != to) else {
            return;
        };
        let record = self.records.len();
        self.records.push(Record {
            key: None,
            runs: 0,
            ran_by: None,
            answered: None,
        });
        let call = self.calls.len();
        self.calls.push(Call {
            record,
            request: None,
            other_body: false,
            decided: None,
            result: None,
        });
        self.relay(id, call, to, true);
    }

    fn relay(&mut self, id: usize, call: usize, to: usize, connect: bool) {
        let now = self.now;
        let repeat = self.calls[call].request.as_ref().is_some_and(|r| r.repeat);
        let peer = self.node_at(to).and_then(|id| self.nodes[id].as_ref());
        let (incarnation, connect) =
            peer.map_or((Incarnation(0), false), |peer| (peer.incarnation, connect));
        let node = self.nodes[id].as_mut().expect("a live node");
        let attempt = node.relays.open(now, host(to), incarnation, repeat);
        self.attempts.push((id, attempt, call));
        assert!(node.relays.begin_send(now, attempt).is_some());
        if connect {
            let from = id;
            self.send_message(Message::Relay {
                to,
                incarnation,
                from,
                attempt,
                call,
            });
        } else {
            node.relays.cancel_send(attempt);
        }
    }

    fn send_message(&mut self, message: Message) {
        let sent = self.now;
        self.in_flight.push(SentMessage { message, sent });
    }

    fn apply_decision(
        &mut self,
        id: usize,
        origin: Origin,
        decision: Decision,
        connect: bool,
    ) -> Checked {
        match decision {
            Decision::Run(permit) => self.run(id, origin, permit),
            Decision::Wait(ticket) | Decision::Claiming(ticket) => {
                let node = self.nodes[id].as_mut().expect("a live node");
                node.tickets.insert(ticket, origin);
                Ok(())
            }
            Decision::Replay(answer) => self.finish_request(origin, CallResult::Answer(answer)),
            Decision::Refuse(verdict) => self.finish_request(origin, CallResult::Refused(verdict)),
            Decision::Relay { host: to } => {
                if origin.relay.is_some() {
                    return Err("a relayed request was relayed again".into());
                }
                let to = (0..HOSTS).find(|index| host(*index) == to).expect("a host");
                self.relay(id, origin.call, to, connect);
                Ok(())
            }
        }
    }

    fn run(&mut self, node: usize, origin: Origin, permit: Permit) -> Checked {
        let call = &self.calls[origin.call];
        if matches!(&call.result, Some(CallResult::Refused(v)) if v.is_not_run()) {
            std::mem::forget(permit);
            return Err("a request ran after its caller was told not-run".into());
        }
        let record = &mut self.records[call.record];
        record.runs += 1;
        record.ran_by = Some(origin.call);
        let runs = record.runs;
        self.running.push(Running {
            node,
            permit,
            origin,
        });
        if runs > 1 {
            return Err(format!("the key ran {runs} times"));
        }
        Ok(())
    }

    /// Returns the result of a request to its caller or to the node that relayed it.
    fn finish_request(&mut self, origin: Origin, result: CallResult) -> Checked {
        self.check_decision(origin.call, &result)?;
        match origin.relay {
            Some((to, attempt)) => {
                let call = origin.call;
                self.send_message(Message::Reply {
                    to,
                    attempt,
                    call,
                    result,
                });
                Ok(())
            }
            None => self.deliver_result(origin.call, &result),
        }
    }

    /// Checks that a `not-run` refusal is true of its own attempt and of all earlier ones, as of the
    /// time of the decision.
    fn check_decision(&mut self, call: usize, result: &CallResult) -> Checked {
        let record = &self.records[self.calls[call].record];
        let ran = record.ran_by.is_some_and(|by| by <= call);
        let decided = &mut self.calls[call].decided;
        let misuse = CallResult::Refused(Verdict::not_run(Reason::BadRequest, None));
        let not_run = matches!(result, CallResult::Refused(verdict) if verdict.is_not_run());
        if ran && not_run && *result != misuse && decided.as_ref() != Some(result) {
            return Err(format!(
                "not-run was returned for a key that may have run: {result:?}"
            ));
        }
        decided.get_or_insert(result.clone());
        Ok(())
    }

    fn deliver_result(&mut self, call: usize, result: &CallResult) -> Checked {
        let record = &self.records[self.calls[call].record];
        let call = &mut self.calls[call];
        if call.result.is_some() {
            return Ok(());
        }
        let error = match result {
            CallResult::Answer(answer) if call.other_body != answer.headers.is_empty() => {
                Some("the caller got the answer to another request under its key")
            }
            CallResult::Answer(answer) => match &record.answered {
                Some((_, _, want)) if want == answer => None,
                _ => {
                    Some("the caller got an answer that differs from that of the attempt that ran")
                }
            },
            _ => None,
        };
        call.result = Some(result.clone());
        error.map_or(Ok(()), |error| Err(format!("{error}: {result:?}")))
    }

    fn finish(&mut self, permit: u8, ending: Ending) {
        if self.running.is_empty() {
            return;
        }
        let at = usize::from(permit) % self.running.len();
        let Running {
            node,
            permit,
            origin,
        } = self.running.swap_remove(at);
        let call = &self.calls[origin.call];
        let record = &mut self.records[call.record];
        self.answers += 1;
        // The header list shows which of the two bodies was answered.
        let headers = if call.other_body {
            vec![]
        } else {
            vec![("x".to_owned(), "y".into())]
        };
        let body = format!(
            "{:0width$}",
            self.answers,
            width = if matches!(ending, Ending::Large) {
                80
            } else {
                4
            }
        );
        let answer = Answer::new(200, headers, body);
        let mut answer = answer;
        if matches!(ending, Ending::Answer) {
            answer.body = answer.body.slice(..answer.body.len().min(4));
        }
        let (outcome, result) = match ending {
            Ending::Answer | Ending::Large => {
                let stored = matches!(ending, Ending::Answer);
                record.answered = Some((
                    if stored { node } else { usize::MAX },
                    self.now,
                    answer.clone(),
                ));
                (
                    Some(Outcome::Answer(answer.clone())),
                    CallResult::Answer(answer),
                )
            }
            Ending::NotRun => {
                record.runs -= 1;
                record.ran_by = None;
                let verdict = Verdict::not_run(Reason::Overloaded, None);
                (
                    Some(Outcome::NotRun(verdict.clone())),
                    CallResult::Refused(verdict),
                )
            }
            Ending::Unknown => {
                let verdict = Verdict::may_have_run(Cause::Timeout);
                (
                    Some(Outcome::Unknown(Cause::Timeout)),
                    CallResult::Refused(verdict),
                )
            }
            Ending::Drop => (None, CallResult::Broken),
        };
        let now = self.now;
        match outcome {
            Some(outcome) => {
                let owner = self.nodes[node]
                    .as_mut()
                    .expect("a node that runs something");
                owner.dedup.finish(now, permit, outcome);
            }
            None => drop(permit),
        }
        let checked = self.finish_request(origin, result);
        assert_eq!(
            checked,
            Ok(()),
            "the outcome of a run must not violate an invariant"
        );
    }

    fn cancel(&mut self, pick: u8) {
        let waiting = self.nodes.iter_mut().flatten().flat_map(|node| {
            let tickets: Vec<_> = node.tickets.keys().copied().collect();
            tickets
                .into_iter()
                .map(move |ticket| (node.incarnation, ticket))
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort();
        if waiting.is_empty() {
            return;
        }
        let (incarnation, ticket) = waiting[usize::from(pick) % waiting.len()];
        let node = self
            .nodes
            .iter_mut()
            .flatten()
            .find(|n| n.incarnation == incarnation)
            .expect("a node");
        node.dedup.handle(self.now, Input::Cancelled { ticket });
        let origin = node.tickets.remove(&ticket).expect("a ticket");
        if origin.relay.is_none() {
            self.calls[origin.call]
                .result
                .get_or_insert(CallResult::Broken);
        }
    }

    fn advance(&mut self, seconds: u8) {
        self.now += Duration::from_secs(seconds.into());
        let now = self.now;
        // Drops messages that exceed the longest time in flight, as a closed connection would.
        self.in_flight
            .retain(|sent_message| now < sent_message.sent + RELAY_TTL);
        for id in self.current.iter().flatten() {
            if let Some(node) = self.nodes[*id].as_mut() {
                node.dedup.tick(now);
            }
        }
    }

    /// Carries out the effects that the nodes request.
    fn run_effects(&mut self) -> Checked {
        for id in 0..self.nodes.len() {
            while let Some(node) = self.nodes[id].as_mut() {
                let Some(effect) = node.dedup.poll_effect() else {
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
                        let Some(origin) = node.tickets.remove(&ticket) else {
                            return Err(format!("ticket {ticket} was resolved twice"));
                        };
                        let decision = match to {
                            Resolution::Run(permit) => Decision::Run(permit),
                            Resolution::Answer(answer) => Decision::Replay(answer),
                            Resolution::Relay { host } => Decision::Relay { host },
                            Resolution::Refuse(verdict) => Decision::Refuse(verdict),
                        };
                        self.apply_decision(id, origin, decision, true)?;
                    }
                }
            }
            if let Some(node) = &self.nodes[id] {
                assert!(node.dedup.used() <= self.settings.memory);
            }
        }
        Ok(())
    }
}
