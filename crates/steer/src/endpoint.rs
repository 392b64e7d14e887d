//! The endpoints, as registered and as observed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::new_key_type;
use wagtail_types::{EndpointId, RegionId, ServiceId, ZoneId};

use crate::cold::ColdLimit;
use crate::hash::short_hash;
use crate::warm::WarmSet;

new_key_type! {
    /// The place of an endpoint in the table.
    pub struct EndpointKey;
}

/// The weight of one outcome in the share of failures.
const FAIL_GAIN: f64 = 0.2;
/// The weight of one answer in the slowness.
const SLOW_GAIN: f64 = 0.25;
/// The time in which an unused estimate of trouble halves, so that it is tried again.
const FORGET_HALF: Duration = Duration::from_secs(4);
/// How long a count from an answer of the endpoint goes before those of other hosts.
const COUNT_FRESH: Duration = Duration::from_millis(300);
/// How long such a count holds if no other host tells of the endpoint; a few of their periods.
const COUNT_LAST: Duration = Duration::from_secs(1);
/// Time between two checks of an endpoint that cannot be reached.
pub(crate) const CHECK_EVERY: Duration = Duration::from_millis(700);

/// What an endpoint says of itself in the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It is about to leave and must get no new request.
    Draining,
}

/// An endpoint's registration.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRecord {
    /// The name, which also tells one start from another in requests.
    pub id: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
    /// The service it offers.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// The requests it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// How long it stays cold from the moment of the registration.
    pub cold: Duration,
    /// The start of its process in milliseconds of wall-clock time, if it says so.
    pub born: Option<u64>,
}

/// Requests at an endpoint, as it reports them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Running.
    pub running: u32,
    /// Waiting for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// The endpoint refused it without running it.
    Shed,
    /// No connection.
    Unreachable,
    /// A failure, or no whole answer.
    Failed,
    /// No answer in the time it had.
    Overdue,
    /// The caller left.
    Left,
    /// Another endpoint has the address.
    Replaced,
}

#[derive(Debug)]
struct Decaying {
    value: f64,
    at: Instant,
}

impl Decaying {
    fn now(&self, rest: f64, now: Instant) -> f64 {
        /// A rest this near is as good as reached, and saves the power below.
        const NEAR: f64 = 1e-3;
        if (self.value - rest).abs() < NEAR {
            return rest;
        }
        let halves = now.duration_since(self.at).as_secs_f64() / FORGET_HALF.as_secs_f64();
        rest + (self.value - rest) * 0.5_f64.powf(halves)
    }

    fn learn(&mut self, sample: f64, rest: f64, gain: f64, now: Instant) {
        let value = self.now(rest, now);
        *self = Self {
            value: value + gain * (sample - value),
            at: now,
        };
    }
}

/// How far an endpoint is from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// In its zone.
    Zone,
    /// In another zone of its region.
    Region,
    /// In another region.
    Away,
}

/// Where an endpoint is, seen from this host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    /// The region's place in the list of all.
    pub(crate) region: usize,
    pub(crate) way: Way,
}

/// An endpoint with what this host has observed of it.
#[derive(Debug)]
pub struct Endpoint {
    /// The registration.
    pub record: EndpointRecord,
    /// Its region.
    pub region: RegionId,
    /// The region's place in the list of all, and how far the endpoint is from this host.
    pub(crate) site: Site,
    pub(crate) hash: u32,
    pub(crate) own: u32,
    /// Whether this host has sent it a request.
    pub(crate) used: bool,
    /// Whether this host should be the one to try it first.
    pub(crate) untried: bool,
    pub(crate) cold_until: Option<Instant>,
    pub(crate) cold: ColdLimit,
    pub(crate) warm: WarmSet,
    /// Set while the endpoint cannot be reached: the next check.
    pub(crate) check_at: Option<Instant>,
    /// A registration that lapsed while the registry was away counts until then.
    pub(crate) lapses_at: Option<Instant>,
    /// Whether this host is one of those that may send to it while it is cold or untried.
    pub(crate) sender: bool,
    /// Requests of other hosts by their digests, and by the endpoint's own count.
    told: f64,
    told_at: Option<Instant>,
    counted: Option<(f64, Instant)>,
    fails: Decaying,
    sheds: Decaying,
    slow: Decaying,
}

impl Endpoint {
    pub(crate) fn new(record: EndpointRecord, region: RegionId, site: Site, now: Instant) -> Self {
        let calm = |value| Decaying { value, at: now };
        Self {
            hash: short_hash(record.id.as_str()),
            cold_until: (!record.cold.is_zero()).then(|| now + record.cold),
            cold: ColdLimit::new(now),
            warm: WarmSet::default(),
            own: 0,
            used: false,
            untried: false,
            check_at: None,
            lapses_at: None,
            sender: false,
            told: 0.0,
            told_at: None,
            counted: None,
            fails: calm(0.0),
            sheds: calm(0.0),
            slow: calm(1.0),
            region,
            site,
            record,
        }
    }

    /// Whether the endpoint is still cold after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether this host may send to the endpoint as it is: to a cold one only as one of its senders
    /// and at its rate.
    pub(crate) fn takes(&mut self, cold_rate: f64, now: Instant) -> bool {
        if !self.used && self.sender {
            self.untried = true;
        }
        !self.is_cold(now) || self.sender && self.cold.allows(cold_rate, now)
    }

    /// Whether the endpoint could not be reached.
    pub fn is_down(&self) -> bool {
        self.check_at.is_some()
    }

    /// The share of failures among recent outcomes.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        self.fails.now(0.0, now)
    }

    /// The share of refusals with room among recent outcomes.
    pub(crate) fn shedding(&self, now: Instant) -> f64 {
        self.sheds.now(0.0, now)
    }

    /// The recent running times against those of all endpoints.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        self.slow.now(1.0, now).clamp(0.3, 20.0)
    }

    /// Requests at the endpoint from all hosts.
    pub(crate) fn outstanding(&self, now: Instant) -> f64 {
        let holds = |at: Instant| {
            let age = now.duration_since(at);
            age < COUNT_FRESH || age < COUNT_LAST && self.told_at.is_none_or(|told| told < at)
        };
        let counted = self.counted.filter(|(_, at)| holds(*at));
        f64::from(self.own) + counted.map_or(self.told, |(others, _)| others)
    }

    /// Takes the count of the other hosts' requests from their digests.
    pub(crate) fn note_others(&mut self, count: u32, now: Instant) {
        self.told = f64::from(count);
        self.told_at = Some(now);
    }

    /// Takes the endpoint's own count.
    pub(crate) fn note_load(&mut self, load: Load, now: Instant) {
        let others = (f64::from(load.running + load.waiting) - f64::from(self.own)).max(0.0);
        self.counted = Some((others, now));
    }

    /// Takes an observed running time relative to the expected one.
    pub(crate) fn note_pace(&mut self, ratio: f64, now: Instant) {
        self.slow.learn(ratio.min(20.0), 1.0, SLOW_GAIN, now);
    }

    /// Takes the end of a request; `room` tells whether a slot was free for it.
    pub(crate) fn note_outcome(&mut self, outcome: Outcome, room: bool, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.fails.learn(0.0, 0.0, FAIL_GAIN, now);
                self.sheds.learn(0.0, 0.0, FAIL_GAIN, now);
            }
            Outcome::Failed | Outcome::Overdue => self.fails.learn(1.0, 0.0, FAIL_GAIN, now),
            // A full endpoint is right to refuse; one that has room will refuse others too.
            Outcome::Shed if room => self.sheds.learn(1.0, 0.0, FAIL_GAIN, now),
            Outcome::Unreachable => self.check_at = Some(now + CHECK_EVERY),
            Outcome::Shed | Outcome::Left | Outcome::Replaced => {}
        }
    }

    /// Takes a new registration of the same endpoint; a new start forgets what was observed.
    pub(crate) fn update(
        &mut self,
        record: EndpointRecord,
        region: RegionId,
        site: Site,
        now: Instant,
    ) {
        let restarted = record.born != self.record.born
            || record.addr != self.record.addr
            || record.service != self.record.service;
        if restarted {
            let (own, told, told_at) = (self.own, self.told, self.told_at);
            *self = Self::new(record, region, site, now);
            (self.own, self.told, self.told_at) = (own, told, told_at);
            return;
        }
        (self.region, self.site) = (region, site);
        self.lapses_at = None;
        if !record.cold.is_zero() {
            self.cold_until = Some(now + record.cold);
        }
        self.record = record;
    }
}
