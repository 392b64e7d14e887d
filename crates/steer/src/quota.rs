//! Fleet-wide limits of teams, shared between hosts by what is asked of each.
//!
//! Each host gets the part of a team's rate that its callers ask for, and an equal part of what
//! nobody asks for. Hosts learn each other's demand from digests. A host that falls silent keeps
//! its part for a while, so that a host that is cut off and the others do not both use it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wagtail_types::TeamId;

use crate::settings::Settings;

/// The time over which demand is averaged; long enough to see a team of one request a second.
const DEMAND_TIME: Duration = Duration::from_secs(3);
/// The time after which every other host has heard of a demand: the period between regions and the
/// way.
const HEARD_AFTER: Duration = Duration::from_millis(1_100);
/// The part of a new process's tokens that is at hand at its start: other processes of the host may
/// have used the rest just before.
const FIRST_PART: f64 = 0.6;
/// The part of what may be used at once that hosts use, so that unequal views stay within it.
const USED_PART: f64 = 0.85;
/// The part of the tokens that all hosts get alike; the rest goes by demand.
const EVEN_PART: f64 = 0.5;

/// A team's limit over the fleet.
#[derive(Debug, Clone, Copy)]
pub struct QuotaLimits {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
    /// Requests at once beyond the burst that still keep the promise, over one window.
    pub slack: f64,
}

impl QuotaLimits {
    /// A limit with the slack that a promise over `window` leaves: `(rate x window + burst) x
    /// (1 + overage) + slack`.
    pub fn new(rate: f64, burst: f64, settings: &Settings) -> Self {
        let beyond = (rate * settings.quota_window.as_secs_f64() + burst) * settings.quota_overage;
        Self { rate, burst, slack: beyond + settings.quota_slack }
    }

    /// The tokens that all hosts together may hold.
    fn pool(&self) -> f64 {
        (self.burst + self.slack) * USED_PART
    }
}

/// The answer to a request for a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Taken {
    /// The request may run.
    Yes,
    /// The limit is reached; a token is expected after this time.
    No(Duration),
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    filled: Instant,
    asked: f64,
    decayed: Instant,
    /// The demands told to other hosts, oldest first.
    told: VecDeque<(Instant, f64)>,
}

impl Bucket {
    fn decay(&mut self, now: Instant) {
        let gone = now.duration_since(self.decayed).as_secs_f64();
        self.asked *= (-gone / DEMAND_TIME.as_secs_f64()).exp();
        self.decayed = now;
    }

    /// The demand that all other hosts have heard of, or a lower one now. With a demand that only
    /// this host knows, the parts of all hosts would add up to more than the limit.
    fn known_demand(&mut self, now: Instant) -> f64 {
        let heard = |&(at, _): &(Instant, f64)| now.duration_since(at) >= HEARD_AFTER;
        while self.told.get(1).is_some_and(heard) {
            self.told.pop_front();
        }
        let known = self.told.front().filter(|t| heard(t)).map_or(0.0, |t| t.1);
        self.demand(now).min(known)
    }

    /// Requests a second asked for.
    fn demand(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.asked / DEMAND_TIME.as_secs_f64()
    }
}

/// This host's parts of the limits of all teams.
#[derive(Debug, Default)]
pub struct Quota {
    buckets: HashMap<TeamId, Bucket>,
}

impl Quota {
    /// Takes a token of a team.
    ///
    /// `others` is what the other hosts' callers ask for, in requests a second, and `hosts` the
    /// number of hosts with this one.
    pub fn take(
        &mut self,
        team: &TeamId,
        limits: QuotaLimits,
        others: f64,
        hosts: usize,
        now: Instant,
    ) -> Taken {
        let hosts = hosts.max(1) as f64;
        let bucket = self.buckets.entry(team.clone()).or_insert_with(|| Bucket {
            level: limits.pool() / hosts * FIRST_PART,
            filled: now,
            asked: 0.0,
            decayed: now,
            told: VecDeque::new(),
        });
        bucket.asked += 1.0;
        let own = bucket.known_demand(now);
        let share = share(limits.rate, own, others, hosts);
        let part = if own > 0.0 { own / (own + others) } else { 0.0 };
        let cap = limits.pool() * (EVEN_PART / hosts + (1.0 - EVEN_PART) * part);
        let gone = now.duration_since(bucket.filled).as_secs_f64();
        bucket.level = (bucket.level + gone * share).min(cap);
        bucket.filled = now;
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return Taken::Yes;
        }
        let wait = if share > 0.0 { (1.0 - bucket.level) / share } else { 1.0 };
        Taken::No(Duration::from_secs_f64(wait.min(10.0)))
    }

    /// Gives a token back for a request that no endpoint ran.
    pub fn give_back(&mut self, team: &TeamId) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += 1.0;
        }
    }

    /// What this host's callers ask for, in requests a second, by team, to tell other hosts.
    pub fn tell(&mut self, now: Instant) -> Vec<(TeamId, f64)> {
        let tell = |(team, bucket): (&TeamId, &mut Bucket)| {
            let demand = bucket.demand(now);
            bucket.told.push_back((now, demand));
            (team.clone(), demand)
        };
        self.buckets.iter_mut().map(tell).collect()
    }
}

fn share(rate: f64, own: f64, others: f64, hosts: f64) -> f64 {
    let all = own + others;
    if all <= rate || all <= 0.0 {
        own + (rate - all) / hosts
    } else {
        // A host whose callers ask for little still gets an equal part of a tenth, so that
        // demand can show.
        0.9 * rate * own / all + 0.1 * rate / hosts
    }
}
