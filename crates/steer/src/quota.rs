//! Fleet-wide limits of teams.
//!
//! In each region one host, the keeper, holds the region's part of a team's limit, and the other
//! hosts of the region ask it for tokens. The keepers of a team tell each other what is asked of
//! them: each region gets the part of the rate that its callers ask for, and an equal part of what
//! nobody asks for. A host without any keeper in reach goes on at a rate that is safe for all hosts
//! to go on at.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, TeamId};

use crate::settings::Settings;

/// The time over which demand is averaged; long enough to see a team of one request a second.
const DEMAND_TIME: Duration = Duration::from_secs(3);
/// The time after which the other keepers have heard of a demand: the period between regions and
/// the way.
const HEARD_AFTER: Duration = Duration::from_millis(1_100);
/// The time after which a region's demand is taken as unknown: two lost messages.
const UNHEARD_AFTER: Duration = Duration::from_millis(3_300);
/// The part of a limit that all hosts together use when they have no keeper in reach.
const ALONE_PART: f64 = 0.5;
/// The part of a new process's tokens that is at hand at its start: other processes of the host may
/// have used the rest just before.
const FIRST_PART: f64 = 0.6;
/// The part of what may be used at once that hosts use, so that unequal views stay within it.
const USED_PART: f64 = 0.85;
/// The part of the tokens that all hosts get alike; the rest goes by demand.
const EVEN_PART: f64 = 0.5;

/// A team's limit over the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaLimits {
    /// Requests a second.
    pub(crate) rate: f64,
    /// Requests at once.
    pub(crate) burst: f64,
    /// Requests at once beyond the burst that still keep the promise, over one window.
    pub(crate) slack: f64,
}

impl QuotaLimits {
    /// A limit with the slack that a promise over `window` leaves: `(rate x window + burst) x
    /// (1 + overage) + slack`.
    pub(crate) fn new(rate: f64, burst: f64, settings: &Settings) -> Self {
        let beyond = (rate * settings.quota_window.as_secs_f64() + burst) * settings.quota_overage;
        Self {
            rate,
            burst,
            slack: beyond + settings.quota_slack,
        }
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
    /// The demands told to other keepers, oldest first.
    told: VecDeque<(Instant, f64)>,
}

impl Bucket {
    fn decay(&mut self, now: Instant) {
        let gone = now.duration_since(self.decayed).as_secs_f64();
        self.asked *= (-gone / DEMAND_TIME.as_secs_f64()).exp();
        self.decayed = now;
    }

    /// The demand that the other keepers have heard of, or a lower one now. With a demand that only
    /// this host knows, the parts of all regions would add up to more than the limit.
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

/// What is asked of the other regions' keepers of a team.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Others {
    /// Requests a second that are asked for in regions that were heard.
    pub(crate) demand: f64,
    /// Regions that share the limit, with this one.
    pub(crate) regions: usize,
    /// Whether all of them were heard of late.
    pub(crate) heard: bool,
}

/// The limits of teams, as far as this host keeps or uses them.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    kept: HashMap<TeamId, Bucket>,
    alone: HashMap<TeamId, (f64, Instant)>,
    heard: HashMap<u32, HashMap<RegionId, (f64, Instant)>>,
}

impl Quota {
    /// Takes a token of a team that this host keeps for its region.
    pub(crate) fn take(
        &mut self,
        team: &TeamId,
        limits: QuotaLimits,
        others: Others,
        now: Instant,
    ) -> Taken {
        let regions = others.regions.max(1) as f64;
        let bucket = self.kept.entry(team.clone()).or_insert_with(|| Bucket {
            level: limits.pool() / regions * FIRST_PART,
            filled: now,
            asked: 0.0,
            decayed: now,
            told: VecDeque::new(),
        });
        bucket.asked += 1.0;
        let own = bucket.known_demand(now);
        let even = limits.rate / regions;
        let mut share = share(limits.rate, own, others.demand, regions);
        if !others.heard {
            share = share.min(even);
        }
        let part = if own > 0.0 {
            own / (own + others.demand)
        } else {
            0.0
        };
        let cap = limits.pool() * (EVEN_PART / regions + (1.0 - EVEN_PART) * part);
        let gone = now.duration_since(bucket.filled).as_secs_f64();
        bucket.level = (bucket.level + gone * share).min(cap);
        bucket.filled = now;
        spend(&mut bucket.level, share)
    }

    /// Takes a token of a team whose keeper is out of reach, on one of `hosts` hosts.
    pub(crate) fn take_alone(
        &mut self,
        team: &TeamId,
        limits: QuotaLimits,
        hosts: usize,
        now: Instant,
    ) -> Taken {
        let rate = limits.rate * ALONE_PART / hosts.max(1) as f64;
        let first = limits.pool() * ALONE_PART / hosts.max(1) as f64;
        let (level, filled) = self
            .alone
            .entry(team.clone())
            .or_insert((first.min(1.0), now));
        let gone = now.duration_since(*filled).as_secs_f64();
        *level = (*level + gone * rate).min(rate.max(1.0));
        *filled = now;
        spend(level, rate)
    }

    /// Gives a token back for a request that no endpoint ran.
    pub(crate) fn give_back(&mut self, team: &TeamId) {
        if let Some(bucket) = self.kept.get_mut(team) {
            bucket.level += 1.0;
        }
    }

    /// What is asked of this host's keeping of a team, in requests a second, to tell the other
    /// keepers.
    pub(crate) fn tell(&mut self, team: &TeamId, now: Instant) -> f64 {
        let Some(bucket) = self.kept.get_mut(team) else {
            return 0.0;
        };
        let demand = bucket.demand(now);
        bucket.told.push_back((now, demand));
        demand
    }

    /// Takes what another region's keeper of a team says is asked of it.
    pub(crate) fn hear(&mut self, team: u32, region: &RegionId, demand: f64, now: Instant) {
        self.heard
            .entry(team)
            .or_default()
            .insert(region.clone(), (demand, now));
    }

    /// What is known of a team's demand in the other `regions` that have hosts.
    pub(crate) fn others(&self, team: u32, regions: &[RegionId], now: Instant) -> Others {
        let heard = self.heard.get(&team);
        let late = |r: &RegionId| {
            heard
                .and_then(|h| h.get(r))
                .filter(|h| now.duration_since(h.1) < UNHEARD_AFTER)
        };
        Others {
            demand: regions.iter().filter_map(late).map(|h| h.0).sum(),
            regions: regions.len() + 1,
            heard: regions.iter().all(|r| late(r).is_some()),
        }
    }
}

fn spend(level: &mut f64, rate: f64) -> Taken {
    /// The longest wait that is worth telling a caller.
    const WAIT_MAX: f64 = 10.0;
    if *level >= 1.0 {
        *level -= 1.0;
        return Taken::Yes;
    }
    let wait = if rate > 0.0 {
        (1.0 - *level) / rate
    } else {
        1.0
    };
    Taken::No(Duration::from_secs_f64(wait.min(WAIT_MAX)))
}

fn share(rate: f64, own: f64, others: f64, regions: f64) -> f64 {
    let all = own + others;
    if all <= rate || all <= 0.0 {
        own + (rate - all) / regions
    } else {
        // A region whose callers ask for little still gets an equal part of a tenth, so that
        // demand can show.
        0.9 * rate * own / all + 0.1 * rate / regions
    }
}
