//! Endpoints: their registrations, and their load and health as observed by the local host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use wagtail_types::{EndpointId, RegionId, ServiceId, ZoneId};

use crate::cold::ColdLimit;
use crate::hash::short_hash;
use crate::limit::EndpointLimit;
use crate::pause::Pause;
use crate::said::Said;
use crate::warm::WarmSet;

new_key_type! {
    /// The key of an endpoint in the table of registered endpoints.
    pub struct EndpointKey;
}

/// The weight of one outcome in the moving averages of failures and refusals.
const FAIL_GAIN: f64 = 0.2;
/// The half-life with which averages return to zero without new samples, so that a
/// troubled endpoint is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// How long the request count in an endpoint's answer takes precedence over the peers' digests.
const LOAD_FRESH: Duration = Duration::from_millis(300);
/// The longest time for which such a count is used if no peer has reported on the endpoint since; a
/// few digest periods.
const LOAD_MAX_AGE: Duration = Duration::from_secs(1);
/// The wait after a refusal by an endpoint whose slots are busy and whose queue is empty.
const FULL_RETRY_WAIT: Duration = Duration::from_millis(300);
/// The wait after a refusal by an endpoint with a free slot; short, so that the caller can still be
/// answered within its target latency.
const FREE_SLOT_RETRY_WAIT: Duration = Duration::from_millis(30);
/// The time between two health checks of an unreachable endpoint.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// The longest time for which an endpoint is taken to be cold without saying so again.
const COLD_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Returns when a cold start ends that lasts for `cold` from now on; `None` if there is none.
pub(crate) fn cold_end(cold: Duration, now: Instant) -> Option<Instant> {
    (!cold.is_zero()).then(|| now + cold.min(COLD_MAX))
}

/// The state that an endpoint registers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint is shutting down and must not receive new requests.
    Draining,
}

/// Who has said that an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Notice {
    /// Nobody.
    None,
    /// Another host, which has heard it from the endpoint.
    Hinted,
    /// The endpoint, to the local host.
    Given,
}

/// The registration of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The name, which also distinguishes incarnations: requests carry it, so that an endpoint can
    /// refuse those meant for a predecessor at its address.
    pub id: EndpointId,
    /// The address for requests.
    pub addr: SocketAddr,
    /// The service that the endpoint runs.
    pub service: ServiceId,
    /// The zone of the endpoint, which gets no requests while the zone is evacuated.
    pub zone: ZoneId,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// How long the cold start still lasts, counted from the moment of the registration.
    pub cold: Duration,
    /// The start of the endpoint's process in milliseconds of wall-clock time, if registered.
    pub started: Option<u64>,
}

/// The request counts that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// The number of slots; one is free if fewer requests are running.
    pub slots: u32,
}

impl Load {
    /// Returns the time after which the endpoint may accept a request, if it has refused one with
    /// these counts: in proportion to its queue, or at once if it refused in spite of a free slot.
    pub fn retry_after(&self) -> Duration {
        if self.running < self.slots {
            return FREE_SLOT_RETRY_WAIT;
        }
        FULL_RETRY_WAIT.mul_f64(1.0 + f64::from(self.waiting) / f64::from(self.slots.max(1)))
    }
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered,
    /// The endpoint refused the request without running it.
    Shed,
    /// The endpoint refused the request without running it, and asked for a pause.
    Paused,
    /// No connection could be established.
    Unreachable,
    /// The endpoint failed, or its answer was incomplete.
    Failed,
    /// No answer arrived within the time allowed.
    Overdue,
    /// The caller disconnected, or the endpoint was unregistered before the request was sent.
    Left,
    /// A different endpoint answered at the address.
    Replaced,
}

impl Outcome {
    /// Returns whether the endpoint may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::Answered | Self::Failed | Self::Overdue => true,
            Self::Shed | Self::Paused | Self::Unreachable | Self::Left | Self::Replaced => false,
        }
    }
}

/// A moving average that decays towards zero while there are no samples.
#[derive(Debug)]
struct Decaying {
    value: f64,
    at: Instant,
}

impl Decaying {
    fn value_at(&self, now: Instant) -> f64 {
        /// Values below this are treated as zero, which saves the power function below.
        const NEGLIGIBLE: f64 = 1e-3;
        if self.value < NEGLIGIBLE {
            return 0.0;
        }
        let half_lives = now.duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }

    fn observe(&mut self, sample: f64, now: Instant) {
        let value = self.value_at(now);
        *self = Self {
            value: value + FAIL_GAIN * (sample - value),
            at: now,
        };
    }
}

/// The network distance of an endpoint from the local host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Where an endpoint is, relative to the local host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Location {
    /// The index of the region in the sorted list of all regions.
    pub(crate) region: usize,
    pub(crate) distance: Distance,
}

/// A registered endpoint and what the local host has observed of it.
#[derive(Debug)]
pub struct Endpoint {
    /// The latest registration; a change of start time, address or service counts as a restart.
    pub record: EndpointRecord,
    /// The region that contains the endpoint's zone.
    pub region: RegionId,
    /// The region's index, and the distance from the local host.
    pub(crate) location: Location,
    /// The short hash of the name, which digests carry.
    pub(crate) hash: u32,
    /// Requests of the local host at the endpoint.
    pub(crate) in_flight: u32,
    /// Whether the local host has sent a request to the endpoint.
    pub(crate) contacted: bool,
    /// When the connection of its last answer to the local host was opened, and when that answer came.
    pub(crate) answered: Option<(Instant, Instant)>,
    /// Whether the local host is a designated sender that should probe the endpoint with a first
    /// request.
    pub(crate) should_probe: bool,
    /// Who has said that the endpoint leaves, besides its registration.
    pub(crate) notice: Notice,
    pub(crate) pause: Pause,
    pub(crate) limit: EndpointLimit,
    pub(crate) said: Said,
    pub(crate) cold_until: Option<Instant>,
    pub(crate) cold_limit: ColdLimit,
    pub(crate) warm: WarmSet,
    /// The time of the next health check; set while the endpoint must be checked before it is used.
    pub(crate) check_at: Option<Instant>,
    /// When the endpoint is removed, if its registration lapsed during a registry outage and is not
    /// renewed.
    pub(crate) lapses_at: Option<Instant>,
    /// Whether the local host is one of the designated senders of a cold endpoint, which may send to it
    /// while it is cold and which probe it first.
    pub(crate) sender: bool,
    /// In-flight requests of the peers according to their digests.
    reported: f64,
    reported_at: Option<Instant>,
    /// In-flight requests of the peers according to the endpoint's own count, and its time.
    self_reported: Option<(f64, Instant)>,
    failures: Decaying,
    refusals: Decaying,
}

impl Endpoint {
    pub(crate) fn new(
        record: EndpointRecord,
        region: RegionId,
        location: Location,
        now: Instant,
    ) -> Self {
        let initial = || Decaying {
            value: 0.0,
            at: now,
        };
        Self {
            hash: short_hash(record.id.as_str()),
            cold_until: cold_end(record.cold, now),
            cold_limit: ColdLimit::new(now),
            warm: WarmSet::default(),
            in_flight: 0,
            contacted: false,
            answered: None,
            should_probe: false,
            notice: Notice::None,
            pause: Pause::default(),
            limit: EndpointLimit::new(now),
            said: Said::default(),
            check_at: None,
            lapses_at: None,
            sender: false,
            reported: 0.0,
            reported_at: None,
            self_reported: None,
            failures: initial(),
            refusals: initial(),
            region,
            location,
            record,
        }
    }

    /// Returns whether the endpoint leaves, by its registration or its own word.
    pub fn is_leaving(&self) -> bool {
        self.has_given_notice() || self.record.state == EndpointState::Draining
    }

    /// Returns whether the endpoint itself has said that it leaves.
    pub(crate) fn has_given_notice(&self) -> bool {
        self.notice == Notice::Given
    }

    /// Returns whether the endpoint has asked for a pause that is not over.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.pause.end(now).is_some()
    }

    /// Returns the number of requests that the endpoint can run at once, if each takes `run_time`
    /// seconds: its slots, or what its limit allows.
    pub(crate) fn usable_slots(&self, run_time: f64) -> f64 {
        let slots = f64::from(self.record.slots);
        let limit = self.limit.per_second();
        limit.map_or(slots, |limit| slots.min(limit * run_time))
    }

    /// Returns whether the endpoint is still in its cold start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether the local host may send a request to the endpoint, which does not pause. While the
    /// endpoint names a limit, and during a cold start, only the designated senders may, within their
    /// part of the limit and the cold rate. Also marks the endpoint to be probed if
    /// the local host is a designated sender and has not sent it a request yet.
    pub(crate) fn accepts(&mut self, cold_rate: f64, now: Instant) -> bool {
        if !self.contacted && self.sender {
            self.should_probe = true;
        }
        self.pause.admits(self.in_flight, now)
            && self.limit.admits(now)
            && (!self.is_cold(now) || self.sender && self.cold_limit.allows(cold_rate, now))
    }

    /// Returns whether the endpoint is out of use until a health check succeeds.
    pub fn is_unavailable(&self) -> bool {
        self.check_at.is_some()
    }

    /// Returns the share of failures among recent outcomes.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.value_at(now)
    }

    /// Returns the share of refusals in spite of a free slot among recent outcomes.
    pub(crate) fn refusal_rate(&self, now: Instant) -> f64 {
        self.refusals.value_at(now)
    }

    /// Returns the number of requests from all hosts at the endpoint.
    pub(crate) fn outstanding(&self, now: Instant) -> f64 {
        let is_current = |at: Instant| {
            let age = now.duration_since(at);
            age < LOAD_FRESH
                || age < LOAD_MAX_AGE && self.reported_at.is_none_or(|reported| reported < at)
        };
        let self_reported = self.self_reported.filter(|(_, at)| is_current(*at));
        f64::from(self.in_flight) + self_reported.map_or(self.reported, |(peers, _)| peers)
    }

    /// Applies what the endpoint has said before it was registered, or registered again.
    pub(crate) fn recall(&mut self, said: Said, now: Instant) {
        self.said = said;
        if said.leaving.is_some() {
            self.notice = Notice::Given;
        }
        if let Some((_, end)) = said.pause {
            self.pause.extend(end.saturating_duration_since(now), now);
        }
        if let Some((_, named)) = said.limit {
            self.limit.set(named, now);
        }
    }

    /// Records the peers' in-flight requests, according to their digests.
    pub(crate) fn record_peer_load(&mut self, count: u32, now: Instant) {
        self.reported = f64::from(count);
        self.reported_at = Some(now);
    }

    /// Records the request counts that the endpoint itself reported.
    pub(crate) fn record_load(&mut self, load: Load, now: Instant) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        let peers = (all - f64::from(self.in_flight)).max(0.0);
        self.self_reported = Some((peers, now));
    }

    /// Records the end of a request; `had_slot` tells whether a slot was free for it.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome, had_slot: bool, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.failures.observe(0.0, now);
                self.refusals.observe(0.0, now);
                self.pause.record_answer(self.record.slots);
            }
            Outcome::Failed | Outcome::Overdue => self.failures.observe(1.0, now),
            // A refusal by a full endpoint is legitimate. An endpoint that refuses in spite of a
            // free slot will probably refuse other requests too.
            Outcome::Shed if had_slot => self.refusals.observe(1.0, now),
            Outcome::Unreachable => self.check_at = Some(now + CHECK_INTERVAL),
            Outcome::Shed | Outcome::Paused | Outcome::Left | Outcome::Replaced => {}
        }
    }

    /// Applies a new registration of the same endpoint. If the endpoint has restarted, its observed
    /// state is reset.
    pub(crate) fn update(
        &mut self,
        record: EndpointRecord,
        region: RegionId,
        location: Location,
        now: Instant,
    ) {
        let restarted = record.started != self.record.started
            || record.addr != self.record.addr
            || record.service != self.record.service;
        if restarted {
            let (in_flight, reported, reported_at) =
                (self.in_flight, self.reported, self.reported_at);
            let said = self.said.by_process(record.started);
            *self = Self::new(record, region, location, now);
            (self.in_flight, self.reported, self.reported_at) = (in_flight, reported, reported_at);
            self.recall(said, now);
            return;
        }
        (self.region, self.location) = (region, location);
        self.lapses_at = None;
        self.cold_until = cold_end(record.cold, now).or(self.cold_until);
        self.record = record;
    }
}
