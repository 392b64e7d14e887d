//! Where one request runs.

use std::time::{Duration, Instant};

use wagtail_types::{Reason, RegionId, Verdict};

use crate::message::{Origin, Placement, Request};
use crate::router::Router;
use crate::spill::Wanted;

/// The retry time given where no service time is known yet.
const RETRY_DEFAULT: Duration = Duration::from_millis(100);

impl Router {
    /// Finds a place for a request.
    pub fn place(&mut self, now: Instant, request: &Request<'_>) -> Placement {
        self.wake(now);
        let Some(service) = self.services.get_mut(request.service) else {
            return refuse(Reason::UnknownService, None);
        };
        if request.deadline <= now {
            return refuse(Reason::DeadlinePassed, None);
        }
        let team = request.team.and_then(|team| self.teams.get(team));
        let allowed = team.and_then(|team| team.regions.as_deref());
        let may_run = |region: &RegionId| allowed.is_none_or(|list| list.contains(region));
        if may_run(&self.settings.region)
            && let Some(lease) = service.pool.pick(now, &mut self.rng)
        {
            return Placement::Dispatch(lease);
        }
        if request.origin == Origin::Local && self.owner.is_serving() {
            let wanted = Wanted {
                service: &service.id,
                tried: request.tried,
            };
            if let Some(pass) = self.spill.choose(now, &wanted, &mut self.rng, may_run) {
                return Placement::Relay(pass);
            }
        }
        refuse(Reason::Overloaded, Some(RETRY_DEFAULT))
    }
}

fn refuse(reason: Reason, retry: Option<Duration>) -> Placement {
    Placement::Refuse(Verdict::not_run(reason, retry))
}
