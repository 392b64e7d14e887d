//! The callers of a deployment: they look up hosts, obtain idempotency keys and send requests when
//! they are due.

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
use crate::client::{Call, CallOutcome, Caller};
use crate::measure::Sample;
use crate::mix::Mix;

const LOOKUP_INTERVAL: Duration = Duration::from_millis(500);
const KEY_BATCH: usize = 32;
/// The hosts that a call tries before it gives up.
const MAX_ATTEMPTS: usize = 8;

/// All callers of a run, grouped by region.
#[derive(Debug, Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    mix: Mix,
    caller: Caller,
    bootstrap_hosts: Vec<SocketAddr>,
    regions: Vec<RegionState>,
}

/// The state that the callers of one region share: the hosts from the last lookup, in order of
/// preference, and issued idempotency keys.
#[derive(Debug, Default)]
struct RegionState {
    hosts: Mutex<Vec<SocketAddr>>,
    keys: Mutex<VecDeque<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    /// Creates the callers; they look up further hosts at `bootstrap_hosts`.
    pub fn new(mix: Mix, bootstrap_hosts: Vec<SocketAddr>) -> Self {
        let regions = mix
            .client_addrs
            .iter()
            .map(|_| RegionState::default())
            .collect();
        let shared = Shared {
            mix,
            caller: Caller::new("run"),
            bootstrap_hosts,
            regions,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Looks up the hosts of every region periodically; never returns.
    pub async fn keep_refreshing_hosts(&self) {
        loop {
            self.refresh_hosts().await;
            sleep(LOOKUP_INTERVAL).await;
        }
    }

    /// Looks up the hosts of every region once.
    pub async fn refresh_hosts(&self) {
        for (region, state) in self.shared.regions.iter().enumerate() {
            let path = format!("/v1/lookup?client={}", self.shared.mix.client_addrs[region]);
            for addr in self.hosts(region) {
                let found = self
                    .shared
                    .caller
                    .json::<Lookup>(Method::GET, addr, &path)
                    .await;
                if let Ok(found) = found
                    && !found.hosts.is_empty()
                {
                    *lock(&state.hosts) = found.hosts.iter().map(|h| h.address).collect();
                    break;
                }
            }
        }
    }

    /// Returns the hosts from the last lookup, followed by the other bootstrap hosts.
    fn hosts(&self, region: usize) -> Vec<SocketAddr> {
        let known = lock(&self.shared.regions[region].hosts).clone();
        let bootstrap_hosts = self.shared.bootstrap_hosts.iter().copied();
        let rest = bootstrap_hosts
            .filter(|addr| !known.contains(addr))
            .collect::<Vec<_>>();
        [known, rest].concat()
    }

    /// Sends every request when it is due and returns the outcomes.
    pub async fn send(&self, arrivals: Vec<Arrival>, start: Instant) -> Vec<Sample> {
        let mut running = JoinSet::new();
        let mut samples = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            sleep_until(start + arrival.at).await;
            let callers = self.clone();
            running.spawn(async move { callers.send_one(arrival, start).await });
        }
        while let Some(done) = running.join_next().await {
            samples.extend(done.into_iter().flatten());
        }
        samples
    }

    async fn send_one(&self, arrival: Arrival, start: Instant) -> Vec<Sample> {
        let (region, call) = self.build_call(&arrival);
        let hosts = self.hosts(region);
        let key = if arrival.keyed {
            self.take_key(region, &hosts).await
        } else {
            None
        };
        let call = match &key {
            Some(key) => call.with_idempotency_key(key),
            None => call,
        };
        let id = self.shared.caller.next_id();
        let first = pick_host(&arrival, hosts.len());
        let mut samples = Vec::new();
        for is_repeat in [false, true] {
            let due = if is_repeat {
                start.elapsed()
            } else {
                arrival.at
            };
            let outcome = self.send_with_failover(&hosts, first, &call, &id).await;
            samples.push(Sample {
                id: id.clone(),
                team: arrival.team,
                class: arrival.class,
                due,
                latency: start.elapsed().saturating_sub(due),
                outcome,
                key: key.clone(),
                is_repeat,
            });
            if !arrival.repeated || key.is_none() {
                break;
            }
        }
        samples
    }

    /// Returns the region of the caller and the call.
    fn build_call(&self, arrival: &Arrival) -> (usize, Call) {
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
        (team.home_region, call)
    }

    /// Calls the host at `first`; while a host cannot be reached, calls the next one.
    async fn send_with_failover(
        &self,
        hosts: &[SocketAddr],
        first: usize,
        call: &Call,
        id: &str,
    ) -> CallOutcome {
        let mut outcome = CallOutcome::Unreached {
            reason: "no host is known".to_owned(),
        };
        for addr in hosts
            .iter()
            .cycle()
            .skip(first)
            .take(MAX_ATTEMPTS.min(hosts.len()))
        {
            outcome = self
                .shared
                .caller
                .call_with_id(*addr, call, id.to_owned())
                .await
                .outcome;
            if !matches!(outcome, CallOutcome::Unreached { .. }) {
                break;
            }
        }
        outcome
    }

    /// Takes an issued idempotency key; requests a batch from a host if none is left.
    async fn take_key(&self, region: usize, hosts: &[SocketAddr]) -> Option<String> {
        let state = &self.shared.regions[region];
        if let Some(key) = lock(&state.keys).pop_front() {
            return Some(key);
        }
        let path = format!("/v1/keys?count={KEY_BATCH}");
        for addr in hosts.iter().take(MAX_ATTEMPTS) {
            let keys = self
                .shared
                .caller
                .json::<Keys>(Method::POST, *addr, &path)
                .await;
            if let Ok(keys) = keys {
                let mut pool = lock(&state.keys);
                pool.extend(keys.keys);
                return pool.pop_front();
            }
        }
        None
    }
}

/// Returns the index of the first host, or of one of the next three.
fn pick_host(arrival: &Arrival, hosts: usize) -> usize {
    const CANDIDATES: usize = 4;
    let others = hosts.min(CANDIDATES).saturating_sub(1);
    if arrival.first_host || others == 0 {
        return 0;
    }
    1 + arrival.host_draw as usize % others
}
