//! The router: decides where the requests of one host run.

mod hedge;
mod input;
mod place;
mod queued;
mod status;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use wagtail_types::{ByteRate, EndpointId, RegionId, ServiceId, TeamId};

use crate::budget::Budget;
use crate::handover::Handover;
use crate::key::{ServiceKey, TeamKey, Ticket};
use crate::message::{Effect, Lease, Outcome, RelayPermit, RelayResult};
use crate::mutant::Mutant;
use crate::ownership::SlotOwnership;
use crate::plan::ShiftPlan;
use crate::pool::Pool;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::shift::ByteBudget;
use crate::spillover::Spillover;
use crate::topology::HostView;

/// Added to the latest start time of a request, because it is refused only after that time.
const EXPIRY_MARGIN: Duration = Duration::from_micros(1);

/// Decides where the requests of one host run.
///
/// ```
/// use std::time::{Duration, Instant};
/// use wagtail_route::*;
///
/// let mut now = Instant::now();
/// let settings = Settings::new("one".parse()?, "gulf-a".parse()?, "gulf".parse()?);
/// let mut router = Router::new(settings, 7, now);
/// router.handle(now, Input::Topology(Topology {
///     zones: vec![ZoneSpec { id: "gulf-a".parse()?, region: "gulf".parse()? }],
///     services: vec![ServiceSpec {
///         id: "roster".parse()?,
///         max_duration: Duration::from_secs(1),
///     }],
///     endpoints: vec![EndpointSpec {
///         id: "roster-1".parse()?,
///         service: "roster".parse()?,
///         zone: "gulf-a".parse()?,
///         slots: 3,
///         connections: 400,
///     }],
///     ..Topology::default()
/// }));
/// router.handle(now, Input::Hosts(vec![HostView {
///     id: "one".parse()?,
///     zone: "gulf-a".parse()?,
///     state: HostState::Serving,
/// }]));
///
/// // A host that has just joined waits before it uses its slots.
/// let request = Request {
///     service: router.service(&"roster".parse()?).unwrap(),
///     team: None,
///     weight: 1,
///     deadline: now + Duration::from_secs(10),
///     idempotent: true,
///     origin: Origin::Local,
///     attempt: 0,
///     tried: &[],
/// };
/// assert!(matches!(router.place(now, &request), Placement::Refuse(_)));
/// for _ in 0..20 {
///     now += Duration::from_millis(200);
///     router.tick(now);
/// }
/// let Placement::Dispatch(lease) = router.place(now, &request) else { panic!() };
/// assert_eq!(lease.endpoint.as_str(), "roster-1");
/// router.finish(now, lease, Outcome::Answered);
/// # Ok::<(), wagtail_types::ParseError>(())
/// ```
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: SmallRng,
    ownership: SlotOwnership,
    handover: Handover,
    spillover: Spillover,
    plan: ShiftPlan,
    byte_budget: ByteBudget,
    link_rate: Option<ByteRate>,
    /// Whether the current request may go to each region, in the order of [`Spillover::regions`].
    reachable: Vec<bool>,
    services: SlotMap<ServiceKey, Service>,
    service_keys: HashMap<ServiceId, ServiceKey>,
    tickets: SlotMap<Ticket, ServiceKey>,
    teams: SlotMap<TeamKey, Team>,
    team_keys: HashMap<TeamId, TeamKey>,
    hosts: Vec<HostView>,
    effects: VecDeque<Effect>,
    /// The effects of the current call.
    new_effects: Vec<Effect>,
    last_call: Instant,
}

#[derive(Debug)]
struct Service {
    id: ServiceId,
    /// The regions in which the service has endpoints.
    regions: Vec<RegionId>,
    pool: Pool,
    queue: Queue,
    retries: Budget,
    hedges: Budget,
    withdrawn: bool,
}

#[derive(Debug)]
struct Team {
    id: TeamId,
    weight: u32,
    regions: Option<Vec<RegionId>>,
}

impl Router {
    /// Returns a router without a configuration or hosts.
    ///
    /// Each incarnation of a host needs a different seed: the tokens drawn from it tell a consent
    /// to a handover request of an earlier incarnation apart.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let (zone, region) = (settings.zone.clone(), settings.region.clone());
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            handover: Handover::new(&settings, now, rng.random()),
            rng,
            ownership: SlotOwnership::new(&settings),
            spillover: Spillover::new(settings.spillover.clone(), zone.clone(), region.clone()),
            plan: ShiftPlan::new(zone, region, settings.fault),
            byte_budget: ByteBudget::new(settings.spillover.byte_rate, now),
            link_rate: None,
            reachable: Vec::new(),
            services: SlotMap::with_key(),
            service_keys: HashMap::new(),
            tickets: SlotMap::with_key(),
            teams: SlotMap::with_key(),
            team_keys: HashMap::new(),
            hosts: Vec::new(),
            effects: VecDeque::new(),
            new_effects: Vec::new(),
            last_call: now,
            settings,
        }
    }

    /// Returns the key of a configured service, valid until the service is removed.
    pub fn service(&self, id: &ServiceId) -> Option<ServiceKey> {
        self.service_keys.get(id).copied()
    }

    /// Returns the key of a configured team, valid until the team is removed.
    pub fn team(&self, id: &TeamId) -> Option<TeamKey> {
        self.team_keys.get(id).copied()
    }

    /// Records the end of a request at an endpoint and releases its slot.
    #[expect(clippy::needless_pass_by_value, reason = "a lease ends once")]
    pub fn finish(&mut self, now: Instant, lease: Lease, outcome: Outcome) {
        self.check_pause(now);
        let Some(service) = self.services.get_mut(lease.service) else {
            return;
        };
        service
            .pool
            .finish(now, &lease, outcome, &mut self.new_effects);
        if service.withdrawn && !service.pool.is_running() {
            self.services.remove(lease.service);
        } else {
            self.start_queued(now, lease.service);
        }
        self.send_consents(now);
        self.flush_effects();
    }

    /// Records the end of a relay.
    #[expect(clippy::needless_pass_by_value, reason = "a permit ends once")]
    pub fn finish_relay(&mut self, now: Instant, permit: RelayPermit, outcome: RelayResult) {
        self.check_pause(now);
        let refused = outcome != RelayResult::Taken;
        self.spillover.finish(&permit, refused);
    }

    /// Performs the work that is due.
    pub fn tick(&mut self, now: Instant) {
        self.check_pause(now);
        for service in self.services.values_mut() {
            service.pool.tick(now, &mut self.new_effects);
            service.queue.drop_idle_flows();
        }
        self.plan.tick(now);
        self.advance_handover(now);
        self.start_all_queued(now);
        self.flush_effects();
    }

    /// Returns the time at which `tick` must be called at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        const TICKS_PER_PAUSE: u32 = 4;
        let step = self.settings.ownership.pause_threshold / TICKS_PER_PAUSE;
        let regular = self.last_call + step.min(self.settings.pool.review_interval);
        let queues = self.services.values().map(|service| &service.queue);
        let due = queues.filter_map(Queue::next_expiry).min();
        Some(due.map_or(regular, |due| regular.min(due + EXPIRY_MARGIN)))
    }

    /// Returns the next effect that the caller must carry out.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns this host's part of the connections that an endpoint accepts.
    pub fn connections(&self, service: ServiceKey, endpoint: &EndpointId) -> Option<u32> {
        self.services.get(service)?.pool.connections(endpoint)
    }

    /// Restarts the handover wait after a process pause, because peers may have taken over this
    /// host's slots.
    fn check_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call);
        self.last_call = self.last_call.max(now);
        let ignore = self.settings.fault.is(Mutant::TrustAfterPause);
        if gap > self.settings.ownership.pause_threshold && !ignore {
            self.ownership.reset(now);
            self.handover.reset(now, self.rng.random());
            for service in self.services.values_mut() {
                service.pool.update_slots(now, &self.ownership, true);
            }
        }
    }

    fn flush_effects(&mut self) {
        self.effects.extend(self.new_effects.drain(..));
    }

    /// Reserves bytes to be exchanged with another region and returns how long to wait before
    /// sending them.
    pub fn reserve_bytes(&mut self, now: Instant, bytes: u64) -> Duration {
        let wait = self.byte_budget.reserve(now, bytes);
        if self.settings.fault.is(Mutant::UnpacedBytes) {
            return Duration::ZERO;
        }
        wait
    }

    /// Completes a handover, and sends requests and consents that are due.
    fn advance_handover(&mut self, now: Instant) {
        if self.handover.try_complete(now) {
            self.ownership.mark_ready(now, &self.settings.zone);
            for service in self.services.values_mut() {
                service.pool.update_slots(now, &self.ownership, false);
            }
        }
        let zone = &self.settings.zone;
        let mut pools = self.services.values().map(|service| &service.pool);
        let has_pending_slots = || pools.any(|pool| pool.has_pending_slots(now, zone));
        if self.handover.should_send(now, has_pending_slots) {
            for (to, request) in self.handover.requests(now) {
                self.new_effects
                    .push(Effect::HandoverRequest { to, request });
            }
        }
        self.send_consents(now);
    }

    fn send_consents(&mut self, now: Instant) {
        if !self.handover.has_pending() {
            return;
        }
        let released = self.services.values().all(|s| s.pool.lost_slots_idle());
        for (to, consent) in self.handover.consents(now, released) {
            self.new_effects
                .push(Effect::HandoverConsent { to, consent });
        }
    }
}
