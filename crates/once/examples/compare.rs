//! Compares a store claim for every request with host-issued keys, in virtual time.
//!
//! `cargo run --release -p wagtail-once --example compare`

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_once::{
    Answer, Begin, ClaimResult, Effect, Fingerprint, Input, Key, Once, Outcome, Request,
    Resolution, Settings,
};
use wagtail_types::{AttemptId, Incarnation};

const REQUESTS: usize = 20_000;
const PER_SECOND: f64 = 100.0;
const DUPLICATE_PERCENT: u32 = 5;
/// One way between a host and the table service in another region, as at Lone Star.
const TO_STORE: Duration = Duration::from_millis(20);
const STORE_SERVICE: Duration = Duration::from_millis(2);
const RUN: Duration = Duration::from_millis(30);

#[derive(Default)]
struct Count {
    requests: usize,
    runs: usize,
    writes: usize,
    waited: usize,
    replayed: usize,
    refused: usize,
    added: Vec<Duration>,
}

/// What happens next in virtual time.
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
    for (issued, up) in [(true, true), (false, true), (true, false), (false, false)] {
        let mut count = trial(issued, up);
        count.added.sort_unstable();
        let at = |percent: usize| {
            let last = count.added.len().checked_sub(1)?;
            count.added.get(last * percent / 100)
        };
        println!(
            "{}, {} | {} {} {} {} | {:.2} | {:?} {:?} {:?}",
            if issued { "issued" } else { "claimed" },
            if up { "up" } else { "out" },
            count.requests,
            count.runs,
            count.waited + count.replayed,
            count.refused,
            count.writes as f64 / count.requests as f64,
            at(50),
            at(99),
            at(100),
        );
    }
}

/// Poisson arrivals, some of which are sent again 10 to 100 ms after the first attempt.
fn arrivals() -> Vec<(Duration, usize, bool)> {
    let mut rng = SmallRng::seed_from_u64(4);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    for index in 0..REQUESTS {
        at += -rng.random::<f64>().ln() / PER_SECOND;
        let first = Duration::from_secs_f64(at);
        arrivals.push((first, index, false));
        if rng.random_range(0..100) < DUPLICATE_PERCENT {
            let wait = Duration::from_millis(rng.random_range(10..100));
            arrivals.push((first + wait, index, true));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Runs all arrivals through one host.
fn trial(issued: bool, up: bool) -> Count {
    let start = Instant::now();
    let host = "h1".parse().expect("a host name");
    let mut once = Once::new(Settings::default(), host, Incarnation(1), 1, start);
    let mut arrivals = arrivals().into_iter().peekable();
    let mut keys: HashMap<usize, Key> = HashMap::new();
    let mut count = Count::default();
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
                    once.handle(now, Input::Claimed { claim, result });
                }
                Event::Done { run } => {
                    let permit = permits.remove(&run).expect("it runs");
                    let answer = Answer::new(200, vec![], run.to_string());
                    once.finish(now, permit, Outcome::Answer(answer));
                }
            }
        } else {
            let (_, index, repeat) = arrivals.next().expect("an arrival is due");
            count.requests += 1;
            let key = keys.entry(index).or_insert_with(|| {
                if issued {
                    Key::Issued(once.issue(now, 1).remove(0))
                } else {
                    format!("order-{index}").parse().expect("a key")
                }
            });
            let request = Request {
                team: "team".parse().expect("a team"),
                service: "service".parse().expect("a service"),
                key: key.clone(),
                print: Fingerprint::of("POST", "/", &index.to_be_bytes()),
                repeat,
            };
            match once.begin(now, &request) {
                Begin::Run(permit) => {
                    count.added.push(Duration::ZERO);
                    count.runs += 1;
                    permits.insert(index, permit);
                    events.push((now + RUN, Event::Done { run: index }));
                }
                Begin::Wait(ticket) | Begin::Claiming(ticket) => {
                    waiting.insert(ticket, (index, now));
                }
                Begin::Replay(_) => count.replayed += 1,
                Begin::Refuse(_) => count.refused += 1,
                Begin::Relay { .. } => unreachable!("there is one host"),
            }
        }
        while let Some(effect) = once.poll_effect() {
            match effect {
                Effect::Claim { claim, .. } | Effect::ReadClaim { claim, .. } => {
                    count.writes += 1;
                    let result = if up {
                        ClaimResult::Applied
                    } else {
                        ClaimResult::Unavailable
                    };
                    let answered = now + TO_STORE * 2 + STORE_SERVICE;
                    events.push((answered, Event::Claimed { claim, result }));
                }
                Effect::Resolve { ticket, to } => {
                    let (index, since) = waiting.remove(&ticket).expect("it waits");
                    match to {
                        Resolution::Run(permit) => {
                            count.added.push(now - since);
                            count.runs += 1;
                            permits.insert(index, permit);
                            events.push((now + RUN, Event::Done { run: index }));
                        }
                        Resolution::Answer(_) => count.waited += 1,
                        Resolution::Refuse(_) => count.refused += 1,
                        Resolution::Relay { .. } => unreachable!("there is one host"),
                    }
                }
            }
        }
    }
    count
}
