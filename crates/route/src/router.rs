//! The router: decides where the requests of one host run.

mod hedge;
mod input;
mod place;
mod pump;
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
use crate::message::{Effect, Lease, Outcome, Pass, Relayed};
use crate::moves::ByteBudget;
use crate::mutant::Mutant;
use crate::owner::Owner;
use crate::plan::Plan;
use crate::pool::Pool;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::spill::Spill;
use crate::topology::HostView;

/// Added to the latest start time of a request, because it is refused only after that time.
const JUST_AFTER: Duration = Duration::from_micros(1);

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
///         longest: Duration::from_secs(1),
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
    owner: Owner,
    handover: Handover,
    spill: Spill,
    plan: Plan,
    bytes: ByteBudget,
    link: Option<ByteRate>,
    reach: Vec<bool>,
    services: SlotMap<ServiceKey, Service>,
    service_keys: HashMap<ServiceId, ServiceKey>,
    tickets: SlotMap<Ticket, ServiceKey>,
    teams: SlotMap<TeamKey, Team>,
    team_keys: HashMap<TeamId, TeamKey>,
    hosts: Vec<HostView>,
    effects: VecDeque<Effect>,
    scratch: Vec<Effect>,
    called: Instant,
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
            owner: Owner::new(&settings),
            spill: Spill::new(settings.spill.clone(), zone.clone(), region.clone()),
            plan: Plan::new(zone, region, settings.fault),
            bytes: ByteBudget::new(settings.spill.bytes, now),
            link: None,
            reach: Vec::new(),
            services: SlotMap::with_key(),
            service_keys: HashMap::new(),
            tickets: SlotMap::with_key(),
            teams: SlotMap::with_key(),
            team_keys: HashMap::new(),
            hosts: Vec::new(),
            effects: VecDeque::new(),
            scratch: Vec::new(),
            called: now,
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
        self.wake(now);
        let Some(service) = self.services.get_mut(lease.service) else {
            return;
        };
        service.pool.finish(now, &lease, outcome, &mut self.scratch);
        if service.withdrawn && !service.pool.is_running() {
            self.services.remove(lease.service);
        } else {
            self.pump(now, lease.service);
        }
        self.answer(now);
        self.publish();
    }

    /// Records the end of a relay.
    #[expect(clippy::needless_pass_by_value, reason = "a pass ends once")]
    pub fn relayed(&mut self, now: Instant, pass: Pass, outcome: Relayed) {
        self.wake(now);
        let refused = outcome != Relayed::Taken;
        self.spill.finish(&pass, refused);
    }

    /// Performs the work that is due.
    pub fn tick(&mut self, now: Instant) {
        self.wake(now);
        for service in self.services.values_mut() {
            service.pool.tick(now, &mut self.scratch);
            service.queue.tidy();
        }
        self.plan.tick(now);
        self.hand_over(now);
        self.pump_all(now);
        self.publish();
    }

    /// Returns the time at which `tick` must be called at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        const TICKS_PER_PAUSE: u32 = 4;
        let step = self.settings.owner.pause / TICKS_PER_PAUSE;
        let regular = self.called + step.min(self.settings.pool.review);
        let queues = self.services.values().map(|service| &service.queue);
        let due = queues.filter_map(Queue::first_due).min();
        Some(due.map_or(regular, |due| regular.min(due + JUST_AFTER)))
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
    fn wake(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.called);
        self.called = self.called.max(now);
        let trust = self.settings.fault.is(Mutant::TrustAfterPause);
        if gap > self.settings.owner.pause && !trust {
            self.owner.reset(now);
            self.handover.reset(now, self.rng.random());
            for service in self.services.values_mut() {
                service.pool.split(now, &self.owner, true);
            }
        }
    }

    fn publish(&mut self) {
        self.effects.extend(self.scratch.drain(..));
    }

    /// Reserves bytes to be exchanged with another region and returns how long to wait before
    /// sending them.
    pub fn far_bytes(&mut self, now: Instant, bytes: u64) -> Duration {
        let wait = self.bytes.take(now, bytes);
        if self.settings.fault.is(Mutant::FreeBytes) {
            return Duration::ZERO;
        }
        wait
    }

    /// Completes a handover, and sends requests and consents that are due.
    fn hand_over(&mut self, now: Instant) {
        if self.handover.opens(now) {
            self.owner.open(now, &self.settings.zone);
            for service in self.services.values_mut() {
                service.pool.split(now, &self.owner, false);
            }
        }
        let zone = &self.settings.zone;
        let mut pools = self.services.values().map(|service| &service.pool);
        let slots = || pools.any(|pool| pool.is_waiting(now, zone));
        if self.handover.is_due(now, slots) {
            for (to, ask) in self.handover.asks(now) {
                self.scratch.push(Effect::Ask { to, ask });
            }
        }
        self.answer(now);
    }

    fn answer(&mut self, now: Instant) {
        if !self.handover.is_asked() {
            return;
        }
        let clean = self.services.values().all(|s| s.pool.is_clean());
        for (to, agree) in self.handover.answers(now, clean) {
            self.scratch.push(Effect::Agree { to, agree });
        }
    }
}
