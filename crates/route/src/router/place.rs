//! Placement of one request.

use std::time::{Duration, Instant};

use wagtail_types::{Reason, RegionId, Verdict};

use crate::key::Ticket;
use crate::message::{Effect, Lease, Origin, Placement, RelayPermit, Request};
use crate::mutant::Mutant;
use crate::queue::{Availability, Candidate, Rejection};
use crate::router::Router;
use crate::spillover::PeerFilter;

/// Retry time if no slot of this host will become free by itself.
const RETRY_DEFAULT: Duration = Duration::from_millis(100);
/// Shortest retry time in a refusal.
const RETRY_MIN: Duration = Duration::from_millis(1);
/// Retry time if a cap on shifted traffic is reached.
const RETRY_CAPPED: Duration = Duration::from_secs(1);

/// The wait above which the queue of a peer is tried, in mean request durations.
const LONG_WAIT_FACTOR: u32 = 2;

/// Which peers a request may be relayed to.
#[derive(Debug, Clone, Copy)]
struct RelayScope {
    max_delay: Duration,
    leave_zone: bool,
    allow_queueing: bool,
    allow_expired: bool,
}

impl RelayScope {
    /// Allows free slots within a one-way delay.
    fn free_slots(max_delay: Duration) -> Self {
        Self {
            max_delay,
            leave_zone: false,
            allow_queueing: false,
            allow_expired: false,
        }
    }

    /// Also allows the queue of a peer that holds slots, since this host holds none or its queue is
    /// long.
    fn with_queues(max_delay: Duration) -> Self {
        Self {
            allow_queueing: true,
            ..Self::free_slots(max_delay)
        }
    }

    /// Also allows peers whose adverts have expired, since no host is known to hold slots. Adverts may
    /// be late although their hosts are alive, and a peer without slots refuses.
    fn with_expired(max_delay: Duration) -> Self {
        Self {
            allow_expired: true,
            ..Self::with_queues(max_delay)
        }
    }

    /// Allows free slots outside the local zone.
    fn other_zones() -> Self {
        Self {
            leave_zone: true,
            ..Self::free_slots(Duration::MAX)
        }
    }
}

impl Router {
    /// Decides where a request runs.
    pub fn place(&mut self, now: Instant, request: &Request<'_>) -> Placement {
        self.check_pause(now);
        if let Err(verdict) = self.admit(now, request) {
            return Placement::Refuse(verdict);
        }
        let local = request.origin == Origin::Local;
        if local && let Some(permit) = self.apply_moves(now, request) {
            return Placement::Relay(permit);
        }
        if let Some(lease) = self.dispatch(now, request) {
            return Placement::Dispatch(lease);
        }
        let availability = self.availability(now, request);
        let wait = availability
            .as_ref()
            .and_then(|availability| self.timely_wait(now, request, availability));
        if local {
            let max_delay = wait.map_or(Duration::MAX, |wait| wait / 2);
            let threshold = availability
                .as_ref()
                .map(|availability| availability.mean * LONG_WAIT_FACTOR);
            let is_long = wait.is_none() || wait > threshold;
            let found = self.relay(now, request, RelayScope::free_slots(max_delay));
            let found = found.or_else(|| {
                let scope = is_long.then_some(RelayScope::with_queues(max_delay))?;
                self.relay(now, request, scope)
            });
            let found = found.or_else(|| {
                let scope = availability
                    .is_none()
                    .then_some(RelayScope::with_expired(max_delay))?;
                self.relay(now, request, scope)
            });
            if let Some(permit) = found {
                return Placement::Relay(permit);
            }
        }
        self.enqueue(now, request, availability)
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
            let permitted =
                service.retries.withdraw() || self.settings.fault.is(Mutant::UnlimitedRetries);
            let verdict = Verdict::not_run(Reason::Overloaded, RETRY_DEFAULT);
            return if permitted { Ok(()) } else { Err(verdict) };
        }
        service.retries.deposit();
        service.hedges.deposit();
        if request.origin == Origin::Local {
            self.plan.count_request(now, &service.id);
        }
        Ok(())
    }

    /// Relays a request that a planned move or drain sends elsewhere, if the caps allow it.
    fn apply_moves(&mut self, now: Instant, request: &Request<'_>) -> Option<RelayPermit> {
        let service = &self.services.get(request.service)?.id;
        let target = self.plan.move_target(now, service);
        if target.is_none() && !self.plan.is_draining() {
            return None;
        }
        self.update_reachable(now, request, true);
        if let Some(target) = &target {
            for (allowed, region) in self.reachable.iter_mut().zip(self.spillover.regions()) {
                *allowed &= region == target;
            }
        }
        let (permit, region) = self.choose(now, request, RelayScope::other_zones())?;
        let service = &self.services.get(request.service)?.id;
        if !self.settings.fault.is(Mutant::UncappedMoves) {
            self.plan.try_shift(now, &region);
        }
        self.plan.record_move(service, &region);
        Some(permit)
    }

    fn dispatch(&mut self, now: Instant, request: &Request<'_>) -> Option<Lease> {
        if !self.is_allowed_locally(request) || self.plan.is_vacated(now) {
            return None;
        }
        let weight = self.weight(request);
        let service = self.services.get_mut(request.service)?;
        if !service.queue.is_empty() {
            return None;
        }
        let lease = service.pool.pick(now, &mut self.rng, None)?;
        service.queue.count_immediate(request.team, weight);
        Some(lease)
    }

    /// Relays to the nearest peers that offer slots, if the caps allow it.
    fn relay(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        scope: RelayScope,
    ) -> Option<RelayPermit> {
        if request.tried.len() > self.settings.spillover.extra_zones {
            return None;
        }
        self.update_reachable(now, request, false);
        let (permit, region) = self.choose(now, request, scope)?;
        if region != *self.home_region(request) {
            self.plan.try_shift(now, &region);
        }
        Some(permit)
    }

    fn choose(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        scope: RelayScope,
    ) -> Option<(RelayPermit, RegionId)> {
        let filter = PeerFilter {
            service: &self.services.get(request.service)?.id,
            tried: request.tried,
            regions: &self.reachable,
            max_delay: scope.max_delay,
            leave_zone: scope.leave_zone,
            allow_queueing: scope.allow_queueing,
            allow_expired: scope.allow_expired,
        };
        self.spillover.choose(now, &filter, &mut self.rng)
    }

    /// Computes which regions a request may go to, given the team's allowed regions, the caps and
    /// the byte budget.
    fn update_reachable(&mut self, now: Instant, request: &Request<'_>, cap_home: bool) {
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        let bytes = self.byte_budget.is_available(now);
        let home = self.home_region(request).clone();
        self.reachable.clear();
        for region in self.spillover.regions() {
            let far = *region != self.settings.region;
            let entitled = allowed.is_none_or(|list| list.contains(region));
            let home = *region == home && !cap_home;
            let uncapped = home || self.plan.can_shift(now, region);
            self.reachable.push(entitled && uncapped && (bytes || !far));
        }
    }

    fn availability(&mut self, now: Instant, request: &Request<'_>) -> Option<Availability> {
        if self.plan.is_vacated(now) {
            return None;
        }
        let service = self.services.get(request.service)?;
        let availability = service
            .pool
            .availability(now, self.settings.queue.assumed_duration);
        (!availability.free_in.is_empty() && self.is_allowed_locally(request))
            .then_some(availability)
    }

    /// Returns the expected wait in the local queue if the request would start in time.
    fn timely_wait(
        &self,
        now: Instant,
        request: &Request<'_>,
        availability: &Availability,
    ) -> Option<Duration> {
        let queue = &self.services.get(request.service)?.queue;
        let wait = queue.expected_wait(now, request.team, availability)?;
        (now + wait <= queue.latest_start(now, request.deadline, availability.mean)).then_some(wait)
    }

    fn enqueue(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        availability: Option<Availability>,
    ) -> Placement {
        let Some(availability) = availability else {
            return Placement::Refuse(self.no_endpoint(now, request));
        };
        let weight = self.weight(request);
        let Some(service) = self.services.get_mut(request.service) else {
            return Placement::Refuse(Verdict::not_run(Reason::UnknownService, None));
        };
        let queue = &mut service.queue;
        let candidate = Candidate {
            team: request.team,
            weight,
            latest_start: queue.latest_start(now, request.deadline, availability.mean),
        };
        let tickets = &mut self.tickets;
        match queue.push(now, &candidate, &availability, || {
            tickets.insert(request.service)
        }) {
            Ok((ticket, evicted)) => {
                if let Some(evicted) = evicted {
                    self.evict(evicted, &availability);
                }
                Placement::Queued(ticket)
            }
            Err(rejection) => {
                Placement::Refuse(self.queue_rejection(now, request, rejection, &availability))
            }
        }
    }

    fn evict(&mut self, ticket: Ticket, availability: &Availability) {
        self.tickets.remove(ticket);
        let verdict = Verdict::not_run(Reason::Overloaded, availability.mean);
        let effect = Effect::Refuse { ticket, verdict };
        self.effects.push_back(effect);
    }

    /// Returns the verdict for a request that cannot be queued. If nothing else arrives, a retry
    /// after the returned time finds a short enough wait, or room in the queue.
    fn queue_rejection(
        &self,
        now: Instant,
        request: &Request<'_>,
        rejection: Rejection,
        availability: &Availability,
    ) -> Verdict {
        let Some(service) = self.services.get(request.service) else {
            return Verdict::not_run(Reason::UnknownService, None);
        };
        let queue = &service.queue;
        let room = queue
            .latest_start(now, request.deadline, availability.mean)
            .saturating_duration_since(now);
        let retry = match rejection {
            Rejection::QueueFull => queue.first_departure(now, request.team, availability),
            Rejection::TooLate if room.is_zero() => queue.time_to_empty(now, availability),
            Rejection::TooLate => queue
                .expected_wait(now, request.team, availability)
                .map(|wait| wait.saturating_sub(room)),
        };
        let retry = retry.unwrap_or(RETRY_DEFAULT).max(RETRY_MIN);
        Verdict::not_run(Reason::Overloaded, retry)
    }

    /// Returns the verdict for a request for which this host has no slot at all.
    fn no_endpoint(&mut self, now: Instant, request: &Request<'_>) -> Verdict {
        self.update_reachable(now, request, false);
        let any_excluded = self.reachable.iter().any(|allowed| !allowed);
        let regions = vec![true; self.reachable.len()];
        let Some(service) = self.services.get(request.service) else {
            return Verdict::not_run(Reason::UnknownService, None);
        };
        let filter = PeerFilter {
            service: &service.id,
            tried: request.tried,
            regions: &regions,
            max_delay: Duration::MAX,
            leave_zone: false,
            allow_queueing: true,
            allow_expired: false,
        };
        if request.origin == Origin::Local && any_excluded && self.spillover.has_offer(now, &filter)
        {
            return Verdict::not_run(Reason::Capped, RETRY_CAPPED);
        }
        Verdict::not_run(Reason::NoEndpoint, RETRY_DEFAULT)
    }

    /// Returns the region in which the request runs if no traffic is shifted.
    fn home_region(&self, request: &Request<'_>) -> &RegionId {
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        let service = self.services.get(request.service);
        let offered = service.map_or(&[][..], |service| &service.regions);
        self.spillover.home_region(offered, allowed)
    }

    fn is_allowed_locally(&self, request: &Request<'_>) -> bool {
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
