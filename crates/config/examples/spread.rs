//! Simulates how fast a change reaches every host by polls alone, by pushes and by pulls, in
//! virtual time. The first change is left out, since hosts without configuration read the whole of
//! it.
//!
//! Run with `cargo run --release -p wagtail-config --example spread`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use wagtail_config::{ConfigSync, RawRecord, Row, SyncEffect, SyncInput, SyncSettings, View};
use wagtail_types::HostId;

const COMMITS: u32 = 20;
const COMMIT_EVERY: Duration = Duration::from_secs(15);
const LOSS_SHARE: f64 = 0.01;

/// A label, whether hosts exchange messages, and the record that each change puts.
type Scenario = (&'static str, bool, fn(u32) -> RawRecord);

const SCENARIOS: [Scenario; 3] = [
    ("poll alone", false, team),
    ("poll and push", true, team),
    ("poll and pull", true, part),
];

/// An input for a host; `None` is a tick at its wake time.
struct Event {
    at: Instant,
    host: usize,
    input: Option<SyncInput>,
}

struct Simulation {
    rng: SmallRng,
    peer_messages: bool,
    hosts: Vec<ConfigSync>,
    wakes: Vec<Option<Instant>>,
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(Instant, usize)>>,
    table: View,
    committed: Vec<Instant>,
    delays: Vec<Duration>,
    reads: u64,
    messages: u64,
    bytes: u64,
}

fn main() {
    println!("hosts  way             p50 ms   p99 ms   max ms  reads/s  msg/s host  B/s host");
    for hosts in [10, 100, 540] {
        for (label, peer_messages, record) in SCENARIOS {
            let start = Instant::now();
            let mut run = Simulation::new(hosts, peer_messages, start);
            run.commit_all(start, record);
            run.report(hosts, label);
        }
    }
}

impl Simulation {
    fn new(count: usize, peer_messages: bool, start: Instant) -> Self {
        let mut run = Self {
            rng: SmallRng::seed_from_u64(11),
            peer_messages,
            hosts: Vec::new(),
            wakes: vec![None; count],
            events: Vec::new(),
            queue: BinaryHeap::new(),
            table: View::empty(),
            committed: vec![start],
            delays: Vec::new(),
            reads: 0,
            messages: 0,
            bytes: 0,
        };
        let names: Vec<HostId> = (0..count).map(name).collect();
        for host in 0..count {
            let mut sync = ConfigSync::new(SyncSettings::default(), host as u64, start);
            let peers = names
                .iter()
                .filter(|n| **n != names[host])
                .cloned()
                .collect();
            sync.handle(start, SyncInput::Peers(peers));
            run.hosts.push(sync);
            run.drain(host, start);
        }
        run
    }

    fn commit_all(&mut self, start: Instant, record: fn(u32) -> RawRecord) {
        for number in 1..=COMMITS {
            let at = start + COMMIT_EVERY * number;
            self.run_until(at);
            let raw = record(number);
            let epoch = self.table.epoch().next();
            let row = Row::put(&raw, epoch).expect("the key is valid");
            self.table = self.table.apply(epoch, [row]);
            self.committed.push(at);
        }
        self.run_until(start + COMMIT_EVERY * (COMMITS + 1));
    }

    fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, index))) = self.queue.peek().copied() {
            if at > end {
                return;
            }
            self.queue.pop();
            let Some(event) = self.events[index].take() else {
                continue;
            };
            let host = event.host;
            match event.input {
                Some(input) => self.hosts[host].handle(at, input),
                None if self.wakes[host] == Some(event.at) => self.hosts[host].tick(at),
                None => continue,
            }
            self.drain(host, at);
        }
    }

    fn drain(&mut self, host: usize, now: Instant) {
        while let Some(effect) = self.hosts[host].poll_effect() {
            match effect {
                SyncEffect::Scan {
                    request,
                    since,
                    after,
                    limit,
                } => {
                    self.reads += 1;
                    let page = self.table.page(since, after.as_ref(), limit);
                    let input = SyncInput::Scanned {
                        request,
                        page,
                        snapshot: None,
                    };
                    self.push_later(host, now, 10..40, input);
                }
                SyncEffect::Send { to, message } if self.peer_messages => {
                    self.messages += 1;
                    self.bytes += message.encode().len() as u64;
                    if !self.rng.random_bool(LOSS_SHARE) {
                        let from = name(host);
                        let input = SyncInput::Message { from, message };
                        self.push_later(number(&to), now, 1..20, input);
                    }
                }
                SyncEffect::Adopted(view) => {
                    let at = usize::try_from(view.epoch().0).expect("the epoch fits");
                    if at > 1 {
                        self.delays.push(now - self.committed[at]);
                    }
                }
                _ => {}
            }
        }
        let wake = self.hosts[host].next_wake();
        if wake != self.wakes[host] {
            self.wakes[host] = wake;
            if let Some(at) = wake {
                self.push(Event {
                    at: at.max(now),
                    host,
                    input: None,
                });
                self.wakes[host] = Some(at.max(now));
            }
        }
    }

    fn push_later(
        &mut self,
        host: usize,
        now: Instant,
        ms: std::ops::Range<u64>,
        input: SyncInput,
    ) {
        let at = now + Duration::from_millis(self.rng.random_range(ms));
        self.push(Event {
            at,
            host,
            input: Some(input),
        });
    }

    fn push(&mut self, event: Event) {
        self.queue.push(Reverse((event.at, self.events.len())));
        self.events.push(Some(event));
    }

    fn report(&mut self, hosts: usize, label: &str) {
        let expected = hosts * (COMMITS as usize - 1);
        assert_eq!(self.delays.len(), expected, "every host adopts every epoch");
        self.delays.sort();
        let millis = |permille: usize| {
            self.delays[(expected * permille / 1000).min(expected - 1)].as_secs_f64() * 1e3
        };
        let seconds = (COMMIT_EVERY * (COMMITS + 1)).as_secs_f64();
        let rate = |count: u64| count as f64 / seconds;
        println!(
            "{hosts:5}  {label:13} {:8.0} {:8.0} {:8.0} {:8.1} {:11.2} {:9.1}",
            millis(500),
            millis(990),
            millis(1000),
            rate(self.reads),
            rate(self.messages) / hosts as f64,
            rate(self.bytes) / hosts as f64,
        );
    }
}

/// Returns a record that is small enough to be pushed.
fn team(number: u32) -> RawRecord {
    let body = json!({ "rate": format!("{number}/s"), "burst": 10, "services": [] });
    RawRecord {
        kind: "team".into(),
        name: "lab".into(),
        schema: 2,
        body,
    }
}

/// Returns a part of the client blocks, which is too large to be pushed and is announced and
/// pulled.
fn part(number: u32) -> RawRecord {
    let line = |n| format!("10.{}.{}.0/24 site-{number}", n / 256, n % 256);
    let body = json!({ "blocks": (0..400).map(line).collect::<Vec<_>>() });
    RawRecord {
        kind: "blocks".into(),
        name: "0".into(),
        schema: 1,
        body,
    }
}

fn name(host: usize) -> HostId {
    format!("entry-{host}").parse().expect("the name is valid")
}

fn number(host: &HostId) -> usize {
    host.as_str()["entry-".len()..]
        .parse()
        .expect("the name ends in a number")
}
