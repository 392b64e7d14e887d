//! Compares claims in the table service with host-issued keys, in virtual time.
//!
//! Run it with `cargo run --release -p wagtail-once --example compare`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_once::{
    Answer, ClaimResult, Decision, Deduplicator, Effect, Fingerprint, Input, Key, Outcome, Request,
    Resolution, Settings,
};
use wagtail_types::{AttemptId, Incarnation};

const REQUESTS: usize = 20_000;
const ARRIVALS_PER_SECOND: f64 = 100.0;
const DUPLICATE_PERCENT: u32 = 5;
/// The one-way delay between a host and the table service in another region.
const STORE_DELAY: Duration = Duration::from_millis(20);
const STORE_SERVICE_TIME: Duration = Duration::from_millis(2);
const RUN_TIME: Duration = Duration::from_millis(30);

#[derive(Default)]
struct Stats {
    requests: usize,
    runs: usize,
    writes: usize,
    waited: usize,
    replayed: usize,
    refused: usize,
    added_latency: Vec<Duration>,
}

/// An event scheduled in virtual time.
enum Event {
    Claimed {
        claim: AttemptId,
        result: ClaimResult,
    },
    Done {
        run: usize,
    },
}

fn main() {
    println!(
        "keys, store | requests runs duplicates-served refused | writes/request | added latency p50 p99 max"
    );
    for (issued, store_up) in [(true, true), (false, true), (true, false), (false, false)] {
        let mut stats = simulate(issued, store_up);
        stats.added_latency.sort_unstable();
        let percentile = |percent: usize| {
            let last = stats.added_latency.len().checked_sub(1)?;
            stats.added_latency.get(last * percent / 100)
        };
        println!(
            "{}, {} | {} {} {} {} | {:.2} | {:?} {:?} {:?}",
            if issued { "issued" } else { "claimed" },
            if store_up { "up" } else { "out" },
            stats.requests,
            stats.runs,
            stats.waited + stats.replayed,
            stats.refused,
            stats.writes as f64 / stats.requests as f64,
            percentile(50),
            percentile(99),
            percentile(100),
        );
    }
}

/// Generates Poisson arrivals, some of which are repeated 10 to 100 ms after the first attempt.
fn arrivals() -> Vec<(Duration, usize, bool)> {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut arrivals = Vec::new();
    let mut arrival_secs = 0.0;
    for index in 0..REQUESTS {
        arrival_secs += -rng.random::<f64>().ln() / ARRIVALS_PER_SECOND;
        let first = Duration::from_secs_f64(arrival_secs);
        arrivals.push((first, index, false));
        if rng.random_range(0..100) < DUPLICATE_PERCENT {
            let wait = Duration::from_millis(rng.random_range(10..100));
            arrivals.push((first + wait, index, true));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Simulates all arrivals at one host, with or without issued keys and a reachable table service.
fn simulate(issued: bool, store_up: bool) -> Stats {
    let start = Instant::now();
    let host = "h1".parse().expect("a host name");
    let mut dedup = Deduplicator::new(Settings::default(), host, Incarnation(1), 1, start);
    let mut arrivals = arrivals().into_iter().peekable();
    let mut keys: HashMap<usize, Key> = HashMap::new();
    let mut stats = Stats::default();
    let mut events: Vec<(Instant, Event)> = Vec::new();
    let mut permits = HashMap::new();
    let mut waiting = HashMap::new();
    loop {
        events.sort_by_key(|event| std::cmp::Reverse(event.0));
        let arrival = arrivals.peek().map(|a| start + a.0);
        let event = events.last().map(|event| event.0);
        let now = match (arrival, event) {
            (None, None) => break,
            (Some(a), Some(e)) if e <= a => e,
            (Some(a), _) => a,
            (None, Some(e)) => e,
        };
        if event == Some(now) {
            match events.pop().expect("an event is due").1 {
                Event::Claimed { claim, result } => {
                    dedup.handle(now, Input::Claimed { claim, result });
                }
                Event::Done { run } => {
                    let permit = permits.remove(&run).expect("it runs");
                    let answer = Answer::new(200, vec![], run.to_string());
                    dedup.finish(now, permit, Outcome::Answer(answer));
                }
            }
        } else {
            let (_, index, repeat) = arrivals.next().expect("an arrival is due");
            stats.requests += 1;
            let key = keys.entry(index).or_insert_with(|| {
                if issued {
                    Key::Issued(dedup.issue(now, 1).remove(0))
                } else {
                    format!("order-{index}").parse().expect("a key")
                }
            });
            let request = Request {
                team: "team".parse().expect("a team"),
                service: "service".parse().expect("a service"),
                key: key.clone(),
                fingerprint: Fingerprint::of("POST", "/", &index.to_be_bytes()),
                repeat,
            };
            match dedup.begin(now, &request) {
                Decision::Run(permit) => {
                    stats.added_latency.push(Duration::ZERO);
                    stats.runs += 1;
                    permits.insert(index, permit);
                    events.push((now + RUN_TIME, Event::Done { run: index }));
                }
                Decision::Wait(ticket) | Decision::Claiming(ticket) => {
                    waiting.insert(ticket, (index, now));
                }
                Decision::Replay(_) => stats.replayed += 1,
                Decision::Refuse(_) => stats.refused += 1,
                Decision::Relay { .. } => unreachable!("there is one host"),
            }
        }
        while let Some(effect) = dedup.poll_effect() {
            match effect {
                Effect::Claim { claim, .. } | Effect::ReadClaim { claim, .. } => {
                    stats.writes += 1;
                    let result = if store_up {
                        ClaimResult::Applied
                    } else {
                        ClaimResult::Unavailable
                    };
                    let answered = now + STORE_DELAY * 2 + STORE_SERVICE_TIME;
                    events.push((answered, Event::Claimed { claim, result }));
                }
                Effect::Resolve { ticket, to } => {
                    let (index, since) = waiting.remove(&ticket).expect("it waits");
                    match to {
                        Resolution::Run(permit) => {
                            stats.added_latency.push(now - since);
                            stats.runs += 1;
                            permits.insert(index, permit);
                            events.push((now + RUN_TIME, Event::Done { run: index }));
                        }
                        Resolution::Answer(_) => stats.waited += 1,
                        Resolution::Refuse(_) => stats.refused += 1,
                        Resolution::Relay { .. } => unreachable!("there is one host"),
                    }
                }
            }
        }
    }
    stats
}
