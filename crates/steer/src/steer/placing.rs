//! A request's way through the decisions: its service, its endpoint, and what its end teaches.

use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ServiceId};

use super::Steer;
use crate::budget::Budget;
use crate::config::{Part, Route};
use crate::endpoint::{EndpointKey, EndpointState, Load, Outcome};
use crate::estimate::Run;
use crate::place::{Ask, Choice, Placement, Use, View, place};
use crate::settings::Settings;

/// The end of a request at an endpoint.
#[derive(Debug)]
pub struct End<'a> {
    /// Where it was.
    pub choice: &'a Choice,
    /// Its route.
    pub route: &'a Route,
    /// The object that it concerns.
    pub object: Option<u32>,
    /// How it ended.
    pub outcome: Outcome,
    /// The time to its answer, where that says how long it ran.
    pub taken: Option<Duration>,
    /// The endpoint's own count of requests.
    pub load: Option<Load>,
}

impl Steer {
    /// The service that runs the next request of a route.
    pub fn split(&mut self, route: &Route) -> Option<ServiceId> {
        if let [Part { service, .. }] = &*route.parts {
            return Some(service.clone());
        }
        self.splits
            .entry(route.id.clone())
            .or_default()
            .next(&route.parts)
    }

    /// Counts a request for a service, in its retry budget and in the demand of the region that
    /// has to run it.
    pub fn count_request(&mut self, service: &ServiceId, homes: &[RegionId], now: Instant) {
        let bound = match homes {
            [home] => Some(home.clone()),
            _ => None,
        };
        self.flows
            .entry((service.clone(), bound))
            .or_default()
            .note(now);
        let window = self.settings.retry_window;
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(window));
        budget.request(now);
    }

    /// Takes a further attempt from the service's budget.
    pub fn take_retry(&mut self, service: &ServiceId, now: Instant) -> bool {
        let hosts = self.hosts.all().count() + 1;
        let Settings {
            retry_ratio,
            retry_slack,
            ..
        } = self.settings;
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|b| b.take(retry_ratio, retry_slack, hosts, now))
    }

    /// Whether [`take_retry`](Self::take_retry) would succeed.
    pub fn may_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let hosts = self.hosts.all().count() + 1;
        let Settings {
            retry_ratio,
            retry_slack,
            ..
        } = self.settings;
        let budget = self.budgets.get(service);
        budget.is_some_and(|b| b.allows(retry_ratio, retry_slack, hosts, now))
    }

    /// Looks for an endpoint and counts the request there if one is found.
    pub fn place(&mut self, ask: &Ask<'_>, now: Instant) -> Placement {
        if self.senders_stale {
            self.choose_senders(now);
        }
        let usable = self.usable(ask, now);
        let mut used = vec![Use::default(); self.places.len()];
        for endpoint in usable.iter().map(|&k| &self.endpoints[k]) {
            let slots = f64::from(endpoint.record.slots);
            let region = &mut used[endpoint.site.region];
            region.busy += endpoint.outstanding(now).min(slots);
            region.slots += slots;
            region.endpoints += 1;
        }
        let point = self.point(ask);
        let primary = self.primary(ask, &used, point);
        let view = View {
            primary,
            kept: self.kept.get(ask.service),
            expected: self.estimates.of(&ask.route.id, ask.route.aim, ask.service),
            late_worth: self.settings.late_worth,
            used: &used,
            now,
        };
        let most = self.settings.max_shift;
        let open = |(i, r): (usize, &RegionId)| i == primary || self.shares.allows(r, most, now);
        let open: Vec<bool> = self.places.iter().enumerate().map(open).collect();
        let endpoints = |only: bool| {
            let (endpoints, open) = (&self.endpoints, &open);
            usable
                .iter()
                .map(move |&k| (k, &endpoints[k]))
                .filter(move |(_, e)| !only || open[e.site.region])
        };
        let mut placement = place(ask, &view, endpoints(true));
        let none_near = || endpoints(true).next().is_none();
        if matches!(placement, Placement::Refuse { .. }) && none_near() {
            placement = place(ask, &view, endpoints(false));
        }
        if let Placement::Send(choice) = &placement {
            self.sent(choice, ask, now);
        }
        placement
    }

    /// The region that should run a request: by the weights, if they point to one that may and can.
    fn primary(&self, ask: &Ask<'_>, used: &[Use], point: f64) -> usize {
        let home = &self.us.region;
        let weighted = self.regions.pick(ask.service, point).unwrap_or(home);
        let index = |region: &RegionId| self.places.iter().position(|r| r == region).unwrap_or(0);
        let (weighted, home) = (index(weighted), index(home));
        let can: Vec<usize> = (0..used.len()).filter(|&i| used[i].endpoints > 0).collect();
        if can.is_empty() || can.contains(&weighted) {
            return weighted;
        }
        if can.contains(&home) {
            return home;
        }
        let step = 1.0 / can.len() as f64;
        let mut points = (1..can.len()).map(|i| i as f64 * step);
        let at = points.position(|end| point < end);
        can[at.unwrap_or(can.len() - 1)]
    }

    /// The point that decides on the region of a request: the same for all of an object.
    fn point(&mut self, ask: &Ask<'_>) -> f64 {
        /// Multiples of the golden ratio fill the unit interval evenly.
        const GOLDEN: f64 = 0.618_033_988_749_895;
        if let Some(object) = ask.object {
            return f64::from(object) / f64::from(u32::MAX);
        }
        self.plain = self.plain.wrapping_add(1);
        (f64::from(self.plain) * GOLDEN).fract()
    }

    fn sent(&mut self, choice: &Choice, ask: &Ask<'_>, now: Instant) {
        let endpoint = &mut self.endpoints[choice.key];
        endpoint.own += 1;
        endpoint.used = true;
        if endpoint.is_cold(now) {
            endpoint.cold.take();
        }
        if ask.tried.is_empty() {
            self.shares.note(&endpoint.region, now);
        }
    }

    /// The endpoints that may run a request now.
    fn usable(&mut self, ask: &Ask<'_>, now: Instant) -> Vec<EndpointKey> {
        let Some(keys) = self.services.get(ask.service) else {
            return Vec::new();
        };
        let cold_rate = self
            .catalog
            .as_ref()
            .and_then(|c| c.service(ask.service))
            .map_or(1.0, |s| s.cold_rate);
        let mut usable = Vec::with_capacity(keys.len());
        for &key in keys {
            let endpoint = &mut self.endpoints[key];
            let record = &endpoint.record;
            let open = record.state == EndpointState::Ready
                && endpoint.check_at.is_none()
                && !ask.tried.contains(&key)
                && !self.evacuated.contains(&record.zone)
                && (ask.homes.is_empty() || ask.homes.contains(&endpoint.region));
            if open && endpoint.takes(cold_rate, now) {
                usable.push(key);
            }
        }
        usable
    }

    /// Takes the end of a request at an endpoint.
    pub fn finish(&mut self, end: &End<'_>, now: Instant) {
        let &End {
            choice,
            object,
            outcome,
            taken,
            load,
            ..
        } = end;
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        endpoint.own = endpoint.own.saturating_sub(1);
        let room = load.map_or(choice.free, |l| l.running < l.slots);
        endpoint.note_outcome(outcome, room, now);
        if let Some(load) = load {
            endpoint.note_load(load, now);
        }
        if outcome == Outcome::Replaced {
            self.remove(choice.key, now);
            return;
        }
        if outcome == Outcome::Answered
            && let Some(object) = object
            && endpoint.warm.note(object, now)
        {
            self.warmed.push_back((now, endpoint.hash, object));
        }
        if outcome == Outcome::Answered
            && let Some(taken) = taken
        {
            self.learn(end, taken.as_secs_f64(), now);
        }
    }

    /// Learns from the time to an answer. Where a queue was met, it only bounds the running time
    /// from above.
    fn learn(&mut self, end: &End<'_>, taken: f64, now: Instant) {
        let (choice, route) = (end.choice, end.route);
        let Some(endpoint) = self.endpoints.get_mut(choice.key) else {
            return;
        };
        let service = endpoint.record.service.clone();
        let looks = self.estimates.looks_warm(&route.id, route.aim, taken);
        let warm = looks.unwrap_or(choice.warm);
        let expected = self.estimates.running(&route.id, route.aim, warm);
        if !choice.free && taken >= expected {
            return;
        }
        endpoint.note_pace(taken / expected, now);
        if let (Some(rank), Some(warm)) = (choice.rank, looks) {
            self.kept
                .entry(service.clone())
                .or_default()
                .learn(rank, warm);
        }
        if !endpoint.is_cold(now) {
            let run = match (end.object, choice.warm) {
                (None, _) => Run::Single,
                (Some(_), true) => Run::Warm,
                (Some(_), false) => Run::Plain,
            };
            self.estimates
                .learn(&route.id, &service, route.aim, run, taken);
        }
    }
}
