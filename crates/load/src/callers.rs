//! Callers of a deployment: they look hosts up, take idempotency keys and send what is due.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use wagtail_entryd::{Keys, Lookup};

use crate::arrivals::Arrival;
use crate::client::{Call, Caller, Got};
use crate::measure::Sample;
use crate::mix::Mix;

const LOOKUP_EVERY: Duration = Duration::from_millis(500);
const KEYS_AT_ONCE: usize = 32;
const TRIES: usize = 8;

/// All callers of a run.
#[derive(Debug, Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    mix: Mix,
    caller: Caller,
    seeds: Vec<SocketAddr>,
    homes: Vec<Home>,
}

/// What the callers of one region share.
#[derive(Debug, Default)]
struct Home {
    hosts: Mutex<Vec<SocketAddr>>,
    keys: Mutex<VecDeque<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    /// Callers that know these hosts to start with.
    pub fn new(mix: Mix, seeds: Vec<SocketAddr>) -> Self {
        let homes = mix.homes.iter().map(|_| Home::default()).collect();
        let shared = Shared {
            mix,
            caller: Caller::new("run"),
            seeds,
            homes,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Looks hosts up for every region, again and again.
    pub async fn keep_looking(&self) {
        loop {
            self.look().await;
            sleep(LOOKUP_EVERY).await;
        }
    }

    /// Looks hosts up for every region once.
    pub async fn look(&self) {
        for (region, home) in self.shared.homes.iter().enumerate() {
            let path = format!("/v1/lookup?client={}", self.shared.mix.homes[region]);
            for addr in self.hosts(region) {
                let found = self
                    .shared
                    .caller
                    .json::<Lookup>(Method::GET, addr, &path)
                    .await;
                if let Ok(found) = found
                    && !found.hosts.is_empty()
                {
                    *lock(&home.hosts) = found.hosts.iter().map(|h| h.address).collect();
                    break;
                }
            }
        }
    }

    fn hosts(&self, region: usize) -> Vec<SocketAddr> {
        let known = lock(&self.shared.homes[region].hosts).clone();
        let seeds = self.shared.seeds.iter().copied();
        let rest = seeds.filter(|s| !known.contains(s)).collect::<Vec<_>>();
        [known, rest].concat()
    }

    /// Sends every arrival when it is due and gathers the outcomes.
    pub async fn send(&self, arrivals: Vec<Arrival>, start: Instant) -> Vec<Sample> {
        let mut running = JoinSet::new();
        let mut samples = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            sleep_until(start + arrival.at).await;
            let callers = self.clone();
            running.spawn(async move { callers.one(arrival, start).await });
        }
        while let Some(done) = running.join_next().await {
            samples.extend(done.into_iter().flatten());
        }
        samples
    }

    async fn one(&self, arrival: Arrival, start: Instant) -> Vec<Sample> {
        let (team, call) = self.call(&arrival);
        let hosts = self.hosts(team);
        let key = if arrival.keyed {
            self.key(team, &hosts).await
        } else {
            None
        };
        let call = match &key {
            Some(key) => call.under(key),
            None => call,
        };
        let id = self.shared.caller.id();
        let first = pick(&arrival, hosts.len());
        let mut samples = Vec::new();
        for again in [false, true] {
            let due = if again { start.elapsed() } else { arrival.at };
            let got = self.reach(&hosts, first, &call, &id).await;
            samples.push(Sample {
                id: id.clone(),
                team: arrival.team,
                class: arrival.class,
                due,
                latency: start.elapsed().saturating_sub(due),
                got,
                key: key.clone(),
                again,
            });
            if !arrival.repeated || key.is_none() {
                break;
            }
        }
        samples
    }

    fn call(&self, arrival: &Arrival) -> (usize, Call) {
        let mix = &self.shared.mix;
        let (team, class) = (&mix.teams[arrival.team], &mix.classes[arrival.class]);
        let read = Call {
            deadline: mix.deadline,
            ..Call::read(&class.service, &team.key)
        };
        let call = if class.idempotent {
            read
        } else {
            Call {
                method: Method::POST,
                path: "/submit".to_owned(),
                body: Bytes::from_static(b"an update of some hundred bytes"),
                ..read
            }
        };
        (team.home, call)
    }

    /// Calls the picked host, or the next ones where it cannot be reached.
    async fn reach(&self, hosts: &[SocketAddr], first: usize, call: &Call, id: &str) -> Got {
        let mut got = Got::Unreached {
            reason: "no host is known".to_owned(),
        };
        for addr in hosts
            .iter()
            .cycle()
            .skip(first)
            .take(TRIES.min(hosts.len()))
        {
            got = self
                .shared
                .caller
                .call_as(*addr, call, id.to_owned())
                .await
                .got;
            if !matches!(got, Got::Unreached { .. }) {
                break;
            }
        }
        got
    }

    async fn key(&self, region: usize, hosts: &[SocketAddr]) -> Option<String> {
        let home = &self.shared.homes[region];
        if let Some(key) = lock(&home.keys).pop_front() {
            return Some(key);
        }
        let path = format!("/v1/keys?count={KEYS_AT_ONCE}");
        for addr in hosts.iter().take(TRIES) {
            let keys = self
                .shared
                .caller
                .json::<Keys>(Method::POST, *addr, &path)
                .await;
            if let Ok(keys) = keys {
                let mut pool = lock(&home.keys);
                pool.extend(keys.keys);
                return pool.pop_front();
            }
        }
        None
    }
}

/// The first host, or one of the others in the list's first part.
fn pick(arrival: &Arrival, hosts: usize) -> usize {
    const WIDE: usize = 4;
    let others = hosts.min(WIDE).saturating_sub(1);
    if arrival.first || others == 0 {
        return 0;
    }
    1 + arrival.draw as usize % others
}
