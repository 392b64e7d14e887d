//! Rate limits of teams, enforced across all hosts.
//!
//! For each team, one host per region, the quota owner, holds the region's token bucket, and the
//! other hosts of the region request tokens from it. The owners of a team report their demand to
//! each other: each region receives the part of the rate that its callers demand, plus an equal
//! part of what is left over. A host that no longer owns a team, because it leaves or another host has
//! joined, grants nothing from its bucket and hands its tokens over to the owner that follows. A host
//! that cannot reach any owner continues at a reduced rate, which keeps the limit even if all hosts do so.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, TeamId};

use crate::settings::Settings;

/// The time constant of the demand average; long enough to measure a team with one request per
/// second.
const DEMAND_TIME: Duration = Duration::from_secs(3);
/// The time after which the other owners have received a demand report: the digest period between
/// regions plus the network delay.
const REPORT_DELAY: Duration = Duration::from_millis(1_100);
/// The time after which a region's demand counts as unknown; two lost reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3_300);
/// The fraction of a limit that all hosts together use while they cannot reach an owner.
const ISOLATED_FRACTION: f64 = 0.5;
/// The fraction of the tokens that a new bucket starts with, since previous incarnations of the
/// owner, up to three within a window, may have spent the rest just before.
const INITIAL_FRACTION: f64 = 0.25;
/// How long before or after a host has become the owner it accepts the tokens of the one before.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// The tokens that an owner begins with though the one before had none left, so that teams with small limits
/// do not wait for their first token.
const INITIAL_MIN: f64 = 2.0;
/// How long an owner that was replaced, and is the owner again, begins with no more tokens than it had left;
/// afterwards it begins like a new one.
const RELEASE_TIME: Duration = Duration::from_secs(5);
/// The fraction of the allowed tokens that is handed out, so that the limit holds although the
/// owners' views differ.
const POOL_FRACTION: f64 = 0.85;
/// The fraction of the tokens that is divided equally between regions; the rest is divided by
/// demand.
const EQUAL_FRACTION: f64 = 0.5;

/// The limit of a team across all hosts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuotaLimits {
    /// Requests per second.
    pub(crate) rate: f64,
    /// The burst size in requests.
    pub(crate) burst: f64,
    /// Requests beyond the burst in one window that the deployment still tolerates.
    pub(crate) slack: f64,
    /// Whether this is not only a part of the limit.
    is_whole: bool,
}

impl QuotaLimits {
    /// Creates a limit whose slack follows from the bound on requests in one `window`: `(rate x
    /// window + burst) x (1 + overage) + slack`.
    pub(crate) fn new(rate: f64, burst: f64, settings: &Settings) -> Self {
        let overage = (rate * settings.quota_window.as_secs_f64() + burst) * settings.quota_overage;
        Self {
            rate,
            burst,
            slack: overage + settings.quota_slack,
            is_whole: true,
        }
    }

    /// Returns a part of the limit.
    pub(crate) fn part(self, fraction: f64) -> Self {
        Self {
            rate: self.rate * fraction,
            burst: self.burst * fraction,
            slack: self.slack * fraction,
            is_whole: self.is_whole && fraction >= 1.0,
        }
    }

    /// Returns the number of tokens that all hosts together may hold.
    fn pool(&self) -> f64 {
        (self.burst + self.slack) * POOL_FRACTION
    }
}

/// The result of requesting a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenOutcome {
    /// The request may run.
    Granted,
    /// The limit is reached; a token is expected after this time.
    Denied(Duration),
}

/// Whether the local host owns a bucket's part of the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ownership {
    /// It never did.
    New,
    /// It does, and began with this number of tokens.
    Held { since: Instant, initial: f64 },
    /// Another host does since then; the tokens that are left have not been handed over.
    Released { at: Instant },
    /// Another host does since then, and has the tokens.
    HandedOver { at: Instant },
}

/// The part of a team's limit that the local host owns, or owned before.
#[derive(Debug)]
struct Bucket {
    ownership: Ownership,
    /// The tokens available at `filled_at`.
    level: f64,
    filled_at: Instant,
    /// The decaying count of requested tokens at `decayed_at`.
    requested: f64,
    decayed_at: Instant,
    /// Demands reported to the other owners with the time of the report, oldest first.
    reported: VecDeque<(Instant, f64)>,
}

impl Bucket {
    /// Creates a bucket that the local host does not own yet.
    fn new(now: Instant) -> Self {
        Self {
            ownership: Ownership::New,
            level: 0.0,
            filled_at: now,
            requested: 0.0,
            decayed_at: now,
            reported: VecDeque::new(),
        }
    }

    /// Makes the local host the owner, unless it is. It begins with the tokens that the owner before has
    /// handed over, otherwise with `initial` tokens, but no more than it had left shortly before.
    fn acquire(&mut self, initial: f64, handed: Option<f64>, now: Instant) {
        let kept = match self.ownership {
            Ownership::Held { .. } => return,
            Ownership::Released { at } | Ownership::HandedOver { at }
                if now.duration_since(at) < RELEASE_TIME =>
            {
                self.level
            }
            Ownership::New | Ownership::Released { .. } | Ownership::HandedOver { .. } => initial,
        };
        let initial = initial.min(kept);
        self.level = handed.map_or(initial, |tokens| tokens.max(initial.min(INITIAL_MIN)));
        self.filled_at = now;
        self.ownership = Ownership::Held {
            since: now,
            initial: self.level,
        };
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.decayed_at).as_secs_f64();
        self.requested *= (-elapsed / DEMAND_TIME.as_secs_f64()).exp();
        self.decayed_at = now;
    }

    /// Returns the current demand, but at most the demand that the other owners have received. If
    /// an owner acted on a demand that only it knows, the rates of all regions would add up to more
    /// than the limit.
    fn known_demand(&mut self, now: Instant) -> f64 {
        let received = |&(at, _): &(Instant, f64)| now.duration_since(at) >= REPORT_DELAY;
        while self.reported.get(1).is_some_and(received) {
            self.reported.pop_front();
        }
        let known = self
            .reported
            .front()
            .filter(|t| received(t))
            .map_or(0.0, |t| t.1);
        self.demand(now).min(known)
    }

    /// Returns the average number of tokens requested per second.
    fn demand(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.requested / DEMAND_TIME.as_secs_f64()
    }
}

/// The demand for a team's tokens in the other regions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemoteDemand {
    /// The sum of the reported demands, in requests per second.
    pub(crate) demand: f64,
    /// The number of regions that share the limit, the local one included.
    pub(crate) regions: usize,
    /// Whether every other region has reported recently.
    pub(crate) complete: bool,
}

/// The token buckets of teams on this host, and the demand that other regions report.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    owned: HashMap<TeamId, Bucket>,
    /// Tokens that earlier owners have handed over, and when.
    handed: HashMap<TeamId, (f64, Instant)>,
    /// Tokens and the time of the last refill, for teams whose owner was unreachable.
    isolated: HashMap<TeamId, (f64, Instant)>,
    /// Demand and the time of the report, by the hash of the team's name and by region.
    reports: HashMap<u32, HashMap<RegionId, (f64, Instant)>>,
}

impl Quota {
    /// Takes a token of a team that the local host owns in its region.
    pub(crate) fn take(
        &mut self,
        team: &TeamId,
        limits: QuotaLimits,
        remote: RemoteDemand,
        now: Instant,
    ) -> TokenOutcome {
        let regions = remote.regions.max(1) as f64;
        // The owner before, if it is only cut off, still has its tokens.
        let initial = if limits.is_whole {
            INITIAL_FRACTION
        } else {
            0.0
        };
        let handed = self.handed.remove(team);
        let handed = handed.filter(|(_, at)| now.duration_since(*at) < HANDOVER_TIME);
        let bucket = self.owned.entry(team.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        let initial = limits.pool() / regions * initial;
        bucket.acquire(initial, handed.map(|(level, _)| level), now);
        bucket.requested += 1.0;
        let local = bucket.known_demand(now);
        let equal_rate = limits.rate / regions;
        let mut rate = regional_rate(limits.rate, local, remote.demand, regions);
        if !remote.complete {
            rate = rate.min(equal_rate);
        }
        let demand_share = if local > 0.0 {
            local / (local + remote.demand)
        } else {
            0.0
        };
        let cap =
            limits.pool() * (EQUAL_FRACTION / regions + (1.0 - EQUAL_FRACTION) * demand_share);
        let elapsed = now.duration_since(bucket.filled_at).as_secs_f64();
        bucket.level = (bucket.level + elapsed * rate).min(cap);
        bucket.filled_at = now;
        take_token(&mut bucket.level, rate)
    }

    /// Takes a token of a team whose owner is unreachable; `hosts` hosts share the reduced rate.
    pub(crate) fn take_isolated(
        &mut self,
        team: &TeamId,
        limits: QuotaLimits,
        hosts: usize,
        now: Instant,
    ) -> TokenOutcome {
        let rate = limits.rate * ISOLATED_FRACTION / hosts.max(1) as f64;
        let initial = limits.pool() * ISOLATED_FRACTION / hosts.max(1) as f64;
        let (level, filled_at) = self
            .isolated
            .entry(team.clone())
            .or_insert((initial.min(1.0), now));
        let elapsed = now.duration_since(*filled_at).as_secs_f64();
        *level = (*level + elapsed * rate).min(rate.max(1.0));
        *filled_at = now;
        take_token(level, rate)
    }

    /// Returns a token that was taken for a request which no endpoint ran.
    pub(crate) fn return_token(&mut self, team: &TeamId) {
        let bucket = self.owned.get_mut(team);
        if let Some(bucket) = bucket.filter(|b| matches!(b.ownership, Ownership::Held { .. })) {
            bucket.level += 1.0;
        }
    }

    /// Ends the ownership of a team, which another host has now.
    pub(crate) fn release(&mut self, team: &TeamId, now: Instant) {
        if let Some(bucket) = self.owned.get_mut(team)
            && let Ownership::Held { .. } = bucket.ownership
        {
            bucket.ownership = Ownership::Released { at: now };
        }
    }

    /// Returns whether the local host owns a team, or has not handed its tokens over since.
    pub(crate) fn has_tokens(&self, team: &TeamId) -> bool {
        let bucket = self.owned.get(team);
        bucket.is_some_and(|b| {
            let state = b.ownership;
            matches!(state, Ownership::Held { .. } | Ownership::Released { .. })
        })
    }

    /// Ends the ownership of a team and returns the tokens that are left; `None` if there are none to hand
    /// over.
    pub(crate) fn hand_over(&mut self, team: &TeamId, now: Instant) -> Option<f64> {
        let bucket = self.owned.get_mut(team)?;
        let at = match bucket.ownership {
            Ownership::Held { .. } => now,
            Ownership::Released { at } => at,
            Ownership::New | Ownership::HandedOver { .. } => return None,
        };
        bucket.ownership = Ownership::HandedOver { at };
        Some(std::mem::take(&mut bucket.level).max(0.0))
    }

    /// Accepts the tokens that the owner before hands over. They take the place of those that the local host
    /// began with.
    pub(crate) fn accept(&mut self, team: &TeamId, tokens: f64, now: Instant) {
        if let Some(bucket) = self.owned.get_mut(team)
            && let Ownership::Held { since, initial } = bucket.ownership
        {
            if now.duration_since(since) < HANDOVER_TIME {
                let tokens = tokens.max(initial.min(INITIAL_MIN));
                bucket.level += tokens - initial;
                bucket.ownership = Ownership::Held {
                    since,
                    initial: tokens,
                };
            }
            return;
        }
        self.handed.insert(team.clone(), (tokens, now));
    }

    /// Returns the demand for a team that the local host owns, in requests per second, and
    /// remembers it as reported to the other owners.
    pub(crate) fn report_demand(&mut self, team: &TeamId, now: Instant) -> f64 {
        let Some(bucket) = self.owned.get_mut(team) else {
            return 0.0;
        };
        let demand = bucket.demand(now);
        bucket.reported.push_back((now, demand));
        demand
    }

    /// Records the demand, in requests per second, that another region's owner reports.
    pub(crate) fn record_report(
        &mut self,
        team: u32,
        region: &RegionId,
        demand: f64,
        now: Instant,
    ) {
        self.reports
            .entry(team)
            .or_default()
            .insert(region.clone(), (demand, now));
    }

    /// Returns the known demand for a team in the other `regions` that have hosts.
    pub(crate) fn remote_demand(
        &self,
        team: u32,
        regions: &[RegionId],
        now: Instant,
    ) -> RemoteDemand {
        let reports = self.reports.get(&team);
        let recent = |r: &RegionId| {
            reports
                .and_then(|h| h.get(r))
                .filter(|h| now.duration_since(h.1) < REPORT_TIMEOUT)
        };
        RemoteDemand {
            demand: regions.iter().filter_map(recent).map(|h| h.0).sum(),
            regions: regions.len() + 1,
            complete: regions.iter().all(|r| recent(r).is_some()),
        }
    }
}

/// Takes a token from a bucket that refills at `rate` tokens per second.
fn take_token(level: &mut f64, rate: f64) -> TokenOutcome {
    /// The longest wait in seconds that is reported to a caller.
    const MAX_WAIT: f64 = 10.0;
    if *level >= 1.0 {
        *level -= 1.0;
        return TokenOutcome::Granted;
    }
    let wait = if rate > 0.0 {
        (1.0 - *level) / rate
    } else {
        1.0
    };
    TokenOutcome::Denied(Duration::from_secs_f64(wait.min(MAX_WAIT)))
}

/// Returns the part of `rate` for a region with the demand `local`; the other regions together have
/// the demand `remote`.
fn regional_rate(rate: f64, local: f64, remote: f64, regions: f64) -> f64 {
    let all = local + remote;
    if all <= rate || all <= 0.0 {
        local + (rate - all) / regions
    } else {
        // A region with little demand still receives an equal share of a tenth of the rate, so that
        // a rise in its demand can become visible.
        0.9 * rate * local / all + 0.1 * rate / regions
    }
}
