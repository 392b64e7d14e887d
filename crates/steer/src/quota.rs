//! Fleet-wide limits of teams, shared between hosts by what is asked of each.
//!
//! Each host gets the part of a team's rate that its callers ask for, and an equal part of what
//! nobody asks for. Hosts learn each other's demand from digests. A host that falls silent keeps
//! its part for a while, so that a host that is cut off and the others do not both use it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::TeamId;

/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(1_500);
/// The part of a new process's burst that is at hand at its start: other processes of the host may
/// have used the rest just before.
const FIRST_PART: f64 = 0.25;
/// The least part of a limit that a host holds, so that a first request is not refused.
const LEAST: f64 = 1.0;

/// A team's limit over the fleet.
#[derive(Debug, Clone, Copy)]
pub struct QuotaLimits {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
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
}

impl Bucket {
    fn decay(&mut self, now: Instant) {
        let gone = now.duration_since(self.decayed).as_secs_f64();
        self.asked *= (-gone / DEMAND_TIME.as_secs_f64()).exp();
        self.decayed = now;
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
            level: (limits.burst / hosts * FIRST_PART).max(LEAST),
            filled: now,
            asked: 0.0,
            decayed: now,
        });
        let own = bucket.demand(now);
        bucket.asked += 1.0;
        let share = share(limits.rate, own, others, hosts);
        let part = if limits.rate > 0.0 { share / limits.rate } else { 1.0 / hosts };
        let cap = (limits.burst * part).max(LEAST);
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

    /// What this host's callers ask for, in requests a second, by team.
    pub fn demand(&mut self, now: Instant) -> Vec<(TeamId, f64)> {
        self.buckets.iter_mut().map(|(t, b)| (t.clone(), b.demand(now))).collect()
    }
}

fn share(rate: f64, own: f64, others: f64, hosts: f64) -> f64 {
    let all = own + others;
    if all <= rate {
        own + (rate - all) / hosts
    } else {
        // A host whose callers ask for little still gets an equal part of a tenth, so that
        // demand can show.
        0.9 * rate * own / all + 0.1 * rate / hosts
    }
}
