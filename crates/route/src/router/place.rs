//! Placement of one request.

use std::time::{Duration, Instant};

use wagtail_types::{Reason, RegionId, Verdict};

use crate::key::Ticket;
use crate::message::{Effect, Lease, Origin, Pass, Placement, Request};
use crate::mutant::Mutant;
use crate::queue::{Entry, Full, Pace};
use crate::router::Router;
use crate::spill::Wanted;

/// Retry time if no slot of this host will become free by itself.
const RETRY_DEFAULT: Duration = Duration::from_millis(100);
/// Shortest retry time in a refusal.
const RETRY_LEAST: Duration = Duration::from_millis(1);
/// Retry time if a cap on shifted traffic is reached.
const RETRY_CAPPED: Duration = Duration::from_secs(1);

/// The wait above which the queue of a peer is tried, in mean request durations.
const LONG_WAIT_RUNS: u32 = 2;

/// Which peers a request may be relayed to.
#[derive(Debug, Clone, Copy)]
struct Away {
    within: Duration,
    leave: bool,
    queue: bool,
}

impl Away {
    /// Allows free slots within a one-way delay.
    fn free(within: Duration) -> Self {
        Self {
            within,
            leave: false,
            queue: false,
        }
    }

    /// Also allows the queue of a peer that holds slots, since this host holds none or its queue is
    /// long.
    fn queue(within: Duration) -> Self {
        Self {
            queue: true,
            ..Self::free(within)
        }
    }

    /// Allows free slots outside the local zone.
    fn zone() -> Self {
        Self {
            leave: true,
            ..Self::free(Duration::MAX)
        }
    }
}

impl Router {
    /// Decides where a request runs.
    pub fn place(&mut self, now: Instant, request: &Request<'_>) -> Placement {
        self.wake(now);
        if let Err(verdict) = self.admit(now, request) {
            return Placement::Refuse(verdict);
        }
        let local = request.origin == Origin::Local;
        if local && let Some(pass) = self.steer(now, request) {
            return Placement::Relay(pass);
        }
        if let Some(lease) = self.dispatch(now, request) {
            return Placement::Dispatch(lease);
        }
        let pace = self.pace(now, request);
        let wait = pace
            .as_ref()
            .and_then(|pace| self.in_time(now, request, pace));
        if local {
            let within = wait.map_or(Duration::MAX, |wait| wait / 2);
            let long = pace.as_ref().map(|pace| pace.mean * LONG_WAIT_RUNS);
            let long = wait.is_none() || wait > long;
            let found = self.relay(now, request, Away::free(within));
            let found = found.or_else(|| {
                let away = long.then_some(Away::queue(within))?;
                self.relay(now, request, away)
            });
            if let Some(pass) = found {
                return Placement::Relay(pass);
            }
        }
        self.enqueue(now, request, pace)
    }

    fn admit(&mut self, now: Instant, request: &Request<'_>) -> Result<(), Verdict> {
        let service = self.services.get_mut(request.service);
        let Some(service) = service.filter(|service| !service.withdrawn) else {
            return Err(Verdict::not_run(Reason::UnknownService, None));
        };
        if request.deadline <= now {
            return Err(Verdict::not_run(Reason::DeadlinePassed, None));
        }
        if request.attempt > 0 {
            let more = service.retries.take() || self.settings.fault.is(Mutant::FreeRetries);
            let verdict = Verdict::not_run(Reason::Overloaded, RETRY_DEFAULT);
            return if more { Ok(()) } else { Err(verdict) };
        }
        service.retries.fill();
        service.hedges.fill();
        if request.origin == Origin::Local {
            self.plan.count(now, &service.id);
        }
        Ok(())
    }

    /// Relays a request that a planned move or drain sends elsewhere, if the caps allow it.
    fn steer(&mut self, now: Instant, request: &Request<'_>) -> Option<Pass> {
        let service = &self.services.get(request.service)?.id;
        let target = self.plan.target(now, service);
        if target.is_none() && !self.plan.leaves() {
            return None;
        }
        self.fill_reach(now, request, true);
        if let Some(target) = &target {
            for (open, region) in self.reach.iter_mut().zip(self.spill.regions()) {
                *open &= region == target;
            }
        }
        let (pass, region) = self.choose(now, request, Away::zone())?;
        let service = &self.services.get(request.service)?.id;
        if !self.settings.fault.is(Mutant::UncappedMoves) {
            self.plan.take(now, &region);
        }
        self.plan.steered(service, &region);
        Some(pass)
    }

    fn dispatch(&mut self, now: Instant, request: &Request<'_>) -> Option<Lease> {
        if !self.may_run_here(request) || self.plan.has_left(now) {
            return None;
        }
        let weight = self.weight(request);
        let service = self.services.get_mut(request.service)?;
        if !service.queue.is_empty() {
            return None;
        }
        let lease = service.pool.pick(now, &mut self.rng, None)?;
        service.queue.pass(request.team, weight);
        Some(lease)
    }

    /// Relays to the nearest peers that offer slots, if the caps allow it.
    fn relay(&mut self, now: Instant, request: &Request<'_>, away: Away) -> Option<Pass> {
        if request.tried.len() > self.settings.spill.more_zones {
            return None;
        }
        self.fill_reach(now, request, false);
        let (pass, region) = self.choose(now, request, away)?;
        if region != *self.home(request) {
            self.plan.take(now, &region);
        }
        Some(pass)
    }

    fn choose(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        away: Away,
    ) -> Option<(Pass, RegionId)> {
        let wanted = Wanted {
            service: &self.services.get(request.service)?.id,
            tried: request.tried,
            regions: &self.reach,
            within: away.within,
            away: away.leave,
            queue: away.queue,
        };
        self.spill.choose(now, &wanted, &mut self.rng)
    }

    /// Computes which regions a request may go to, given the team's allowed regions, the caps and
    /// the byte budget.
    fn fill_reach(&mut self, now: Instant, request: &Request<'_>, own_capped: bool) {
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        let bytes = self.bytes.has(now);
        let home = self.home(request).clone();
        self.reach.clear();
        for region in self.spill.regions() {
            let far = *region != self.settings.region;
            let entitled = allowed.is_none_or(|list| list.contains(region));
            let home = *region == home && !own_capped;
            let open = home || self.plan.may(now, region);
            self.reach.push(entitled && open && (bytes || !far));
        }
    }

    fn pace(&mut self, now: Instant, request: &Request<'_>) -> Option<Pace> {
        if self.plan.has_left(now) {
            return None;
        }
        let service = self.services.get(request.service)?;
        let pace = service.pool.pace(now, self.settings.queue.guess);
        (!pace.left.is_empty() && self.may_run_here(request)).then_some(pace)
    }

    /// Returns the expected wait in the local queue if the request would start in time.
    fn in_time(&self, now: Instant, request: &Request<'_>, pace: &Pace) -> Option<Duration> {
        let queue = &self.services.get(request.service)?.queue;
        let wait = queue.start(now, request.team, pace)?;
        (now + wait <= queue.start_by(now, request.deadline, pace.mean)).then_some(wait)
    }

    fn enqueue(&mut self, now: Instant, request: &Request<'_>, pace: Option<Pace>) -> Placement {
        let Some(pace) = pace else {
            return Placement::Refuse(self.no_place(now, request));
        };
        let weight = self.weight(request);
        let Some(service) = self.services.get_mut(request.service) else {
            return Placement::Refuse(Verdict::not_run(Reason::UnknownService, None));
        };
        let queue = &mut service.queue;
        let entry = Entry {
            team: request.team,
            weight,
            start_by: queue.start_by(now, request.deadline, pace.mean),
        };
        let tickets = &mut self.tickets;
        match queue.push(now, &entry, &pace, || tickets.insert(request.service)) {
            Ok((ticket, evicted)) => {
                if let Some(evicted) = evicted {
                    self.evict(evicted, &pace);
                }
                Placement::Queued(ticket)
            }
            Err(full) => Placement::Refuse(self.late(now, request, full, &pace)),
        }
    }

    fn evict(&mut self, ticket: Ticket, pace: &Pace) {
        self.tickets.remove(ticket);
        let verdict = Verdict::not_run(Reason::Overloaded, pace.mean);
        let effect = Effect::Refuse { ticket, verdict };
        self.effects.push_back(effect);
    }

    /// Returns the verdict for a request that cannot be queued. If nothing else arrives, a retry
    /// after the returned time finds a short enough wait, or room in the queue.
    fn late(&self, now: Instant, request: &Request<'_>, full: Full, pace: &Pace) -> Verdict {
        let Some(service) = self.services.get(request.service) else {
            return Verdict::not_run(Reason::UnknownService, None);
        };
        let queue = &service.queue;
        let room = queue
            .start_by(now, request.deadline, pace.mean)
            .saturating_duration_since(now);
        let retry = match full {
            Full::Long => queue.first_leaves(now, request.team, pace),
            Full::Late if room.is_zero() => queue.empties(now, pace),
            Full::Late => queue
                .start(now, request.team, pace)
                .map(|wait| wait.saturating_sub(room)),
        };
        let retry = retry.unwrap_or(RETRY_DEFAULT).max(RETRY_LEAST);
        Verdict::not_run(Reason::Overloaded, retry)
    }

    /// Returns the verdict for a request for which this host has no slot at all.
    fn no_place(&mut self, now: Instant, request: &Request<'_>) -> Verdict {
        self.fill_reach(now, request, false);
        let some_barred = self.reach.iter().any(|open| !open);
        let regions = vec![true; self.reach.len()];
        let Some(service) = self.services.get(request.service) else {
            return Verdict::not_run(Reason::UnknownService, None);
        };
        let wanted = Wanted {
            service: &service.id,
            tried: request.tried,
            regions: &regions,
            within: Duration::MAX,
            away: false,
            queue: true,
        };
        if request.origin == Origin::Local && some_barred && self.spill.has_offer(now, &wanted) {
            return Verdict::not_run(Reason::Capped, RETRY_CAPPED);
        }
        Verdict::not_run(Reason::NoEndpoint, RETRY_DEFAULT)
    }

    /// Returns the region in which the request runs if no traffic is shifted.
    fn home(&self, request: &Request<'_>) -> &RegionId {
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        let service = self.services.get(request.service);
        let offered = service.map_or(&[][..], |service| &service.regions);
        self.spill.home(offered, allowed)
    }

    fn may_run_here(&self, request: &Request<'_>) -> bool {
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        allowed.is_none_or(|list| list.contains(&self.settings.region))
    }

    fn weight(&self, request: &Request<'_>) -> f64 {
        let team = request.team.and_then(|team| self.teams.get(team));
        let team = team.map_or(1, |team| team.weight);
        f64::from(team) * f64::from(request.weight.max(1))
    }
}
