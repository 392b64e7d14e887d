//! What endpoints say of themselves in their answers: that they leave, want a pause, or limit the
//! requests of all hosts together.

use std::time::{Duration, Instant};

use wagtail_types::Rate;

use super::Steer;
use crate::digest::LeavingEndpoint;
use crate::endpoint::{Endpoint, EndpointKey, Notice};
use crate::limit::{LimitChange, LimitNotice, LimitReport, NamedLimit};
use crate::placement::PlacementRequest;

/// How long the word of another host that an endpoint leaves holds. The registry, or the endpoint's
/// own answers, tell within that time whether it is true.
const HINT_TIME: Duration = Duration::from_secs(3);
/// The wait for an endpoint that takes few requests at a time after a pause, as a fraction of the
/// target latency.
const RETURN_WAIT: f64 = 0.5;
/// How long digests repeat that an endpoint leaves; two digest periods between regions.
const LEAVING_REPORT_TIME: Duration = Duration::from_millis(2_200);

/// How many registered endpoints receive no requests, or few, by reason. One with several reasons counts under
/// the first of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LeftOut {
    /// The endpoint leaves.
    pub leaving: u32,
    /// Its zone is evacuated.
    pub evacuated: u32,
    /// It could not be reached, and must pass a health check.
    pub unreachable: u32,
    /// It wants a pause.
    pub paused: u32,
    /// It names a limit on the requests of all hosts together, so that it receives few.
    pub limited: u32,
}

impl Steer {
    /// Returns how many endpoints receive no requests, or few.
    pub fn left_out(&self, now: Instant) -> LeftOut {
        let mut counts = LeftOut::default();
        for endpoint in self.endpoints.values() {
            let count = if endpoint.is_leaving() {
                &mut counts.leaving
            } else if self.evacuated.contains(&endpoint.record.zone) {
                &mut counts.evacuated
            } else if endpoint.is_unavailable() {
                &mut counts.unreachable
            } else if endpoint.is_paused(now) {
                &mut counts.paused
            } else if endpoint.limit.rate().is_some() {
                &mut counts.limited
            } else {
                continue;
            };
            *count += 1;
        }
        counts
    }

    /// Returns an endpoint if the process that was started at `started` is still the registered one.
    pub(super) fn process(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
    ) -> Option<&mut Endpoint> {
        let endpoint = self.endpoints.get_mut(key);
        endpoint.filter(|e| e.record.started == started)
    }

    /// Records that the process of an endpoint that was started at `started` has said that it leaves.
    /// It receives no further requests, whatever the registry says. `wall` is the wall-clock time in
    /// milliseconds. Returns `false` if that was known or another process is registered.
    pub fn record_leaving(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
        wall: u64,
        now: Instant,
    ) -> bool {
        let Some(endpoint) = self.process(key, started) else {
            return false;
        };
        endpoint.said.leaving.get_or_insert(wall);
        if endpoint.has_given_notice() {
            return false;
        }
        endpoint.notice = Notice::Given;
        let report = LeavingEndpoint {
            endpoint: endpoint.hash,
            started,
        };
        self.newly_leaving.push_back((now, report));
        true
    }

    /// Records that the process of an endpoint that was started at `started` wants no request of the
    /// local host for `time`. `wall` is the wall-clock time in milliseconds. Returns `false` if it had
    /// asked for that before or another process is registered.
    pub fn record_pause(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
        time: Duration,
        wall: u64,
        now: Instant,
    ) -> bool {
        let Some(endpoint) = self.process(key, started) else {
            return false;
        };
        let paused = endpoint.is_paused(now);
        endpoint.pause.extend(time, now);
        endpoint.said.pause = endpoint.pause.end(now).map(|end| (wall, end));
        !paused
    }

    /// Records what the process of an endpoint that was started at `started` says of its limit, in the
    /// answer to a request that was sent at `sent`. `wall` is the wall-clock time in milliseconds.
    /// Returns the change of the limit, if any.
    pub fn record_limit(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
        notice: LimitNotice,
        sent: Instant,
        wall: u64,
        now: Instant,
    ) -> Option<LimitChange> {
        let endpoint = self.process(key, started)?;
        let change = endpoint.limit.hear(notice, sent, now);
        endpoint.said.limit = endpoint.limit.named().map(|named| (wall, named));
        self.senders_stale |= change.is_some();
        change
    }

    /// Returns what endpoints have said of their limits, for the next digest.
    pub fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let report = |e: &Endpoint| {
            let (rate, age) = e.limit.report(now)?;
            Some(LimitReport {
                endpoint: e.hash,
                started: e.record.started,
                micros: rate.map(Rate::micros),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        };
        self.endpoints.values().filter_map(report).collect()
    }

    /// Records what another host has heard from an endpoint about its limit. `wall` is the wall-clock
    /// time in milliseconds. Returns the change of the limit, if any.
    pub fn learn_limit(
        &mut self,
        report: &LimitReport,
        wall: u64,
        now: Instant,
    ) -> Option<LimitChange> {
        let key = *self.by_hash.get(&report.endpoint)?;
        let endpoint = self.process(key, report.started)?;
        let age = Duration::from_millis(report.age_ms.into());
        let named = NamedLimit {
            rate: report.micros.map(Rate::from_micros),
            at: now.checked_sub(age)?,
            first_hand: false,
        };
        let change = endpoint.limit.learn(named, now);
        endpoint.said.limit = endpoint.limit.named().map(|named| (wall, named));
        self.senders_stale |= change.is_some();
        change
    }

    /// Returns whether a request that was placed at an endpoint may still be sent there.
    pub fn may_send(&self, key: EndpointKey, now: Instant) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|e| !e.is_leaving() && !e.is_paused(now))
    }

    /// Returns the endpoints that have recently said that they leave, for the next digest.
    pub fn leaving_reports(&mut self, now: Instant) -> Vec<LeavingEndpoint> {
        let old = |at: Instant| now.duration_since(at) >= LEAVING_REPORT_TIME;
        while self.newly_leaving.front().is_some_and(|r| old(r.0)) {
            self.newly_leaving.pop_front();
        }
        self.newly_leaving.iter().map(|r| r.1).collect()
    }

    /// Records that another host has heard from an endpoint that it leaves. The local host sends it
    /// nothing for some time, once for each process, so that no other host can retire an endpoint.
    /// Returns `false` if that changes nothing.
    pub fn hint_leaving(&mut self, report: LeavingEndpoint, now: Instant) -> bool {
        let Some(&key) = self.by_hash.get(&report.endpoint) else {
            return false;
        };
        let Some(endpoint) = self.process(key, report.started) else {
            return false;
        };
        if endpoint.notice != Notice::None {
            return false;
        }
        endpoint.notice = Notice::Hinted;
        endpoint.pause.extend(HINT_TIME, now);
        true
    }

    /// Returns the time until the first endpoint that may run a request takes requests again, if all
    /// of them pause, have just begun to return or limit their requests, and one does so before the
    /// deadline.
    pub fn wait_for_endpoints(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let keys = self.by_service.get(request.service)?;
        let endpoints = keys.iter().map(|&k| &self.endpoints[k]);
        let mut shortest: Option<Duration> = None;
        for endpoint in endpoints.filter(|e| self.is_open(e, request)) {
            let wait = match endpoint.pause.end(now) {
                Some(end) => end.duration_since(now),
                None if endpoint.pause.is_limited() => {
                    request.route.target_latency.mul_f64(RETURN_WAIT)
                }
                None => endpoint.limit.wait(now)?,
            };
            shortest = Some(shortest.map_or(wait, |s| s.min(wait)));
        }
        shortest.filter(|wait| *wait < request.remaining)
    }
}
