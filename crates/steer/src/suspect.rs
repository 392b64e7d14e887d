//! Requests that may crash the endpoints which run them.
//!
//! A request is identified by what it asks, as callers repeat it under other ids. Each host records under
//! which requests endpoints ended, and tells the other hosts. A request that ends well is trusted again.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtail_types::HostId;
use xxhash_rust::xxh3::Xxh3;

use crate::endpoint::EndpointKey;

/// The number of ended endpoints from which on a request runs at one endpoint at a time.
const RESTRICTED_ENDS: usize = 2;
/// The number of ended endpoints from which on a request is rejected, except for trials.
const REJECTED_ENDS: usize = 3;
/// The number of ends that count of what another host reports, so that no single host can have a request
/// rejected by all.
const ENDS_PER_PEER: usize = 2;
/// The number of ends that are kept of one host; more add nothing.
const ENDS_MAX: usize = 8;
/// How long an end counts.
const MEMORY: Duration = Duration::from_secs(60);
/// The time after the last end until the first trial of a rejected request. Doubles with each end.
const TRIAL_GAP: Duration = Duration::from_secs(10);
/// The longest such time.
const TRIAL_GAP_MAX: Duration = Duration::from_secs(40);
/// The time within which hosts see that several endpoints have ended for the same reason.
const JOINT_TIME: Duration = Duration::from_millis(80);
/// The time after which the next host may try a restricted or rejected request, in the order of their
/// rendezvous scores, so that one host at a time does. It is this multiple of the time that such a
/// request has taken to end an endpoint.
const TRIAL_STEP_FACTOR: u32 = 2;
const TRIAL_STEP_MIN: Duration = Duration::from_millis(200);
const TRIAL_STEP_MAX: Duration = Duration::from_secs(2);
/// How long a broken connection is kept as a possible sign that the endpoint has ended.
const BREAK_MEMORY: Duration = Duration::from_secs(5);
/// The time after a reported end from which on an answer of the same process refutes it; longer than an
/// answer is on its way.
const REFUTATION_TIME: Duration = Duration::from_millis(500);
/// The number of requests that are kept; the one whose last end is the oldest makes room.
const REQUESTS_MAX: usize = 256;
/// The number of requests that one message reports.
pub(crate) const REPORTS_MAX: usize = 16;

/// Identifies what a request asks: equal requests of all callers of a team have the same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts, in order.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    pub(crate) fn hash(self) -> u64 {
        self.0
    }
}

/// The process of an endpoint that ended while a request ran there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The hash of the endpoint's name.
    pub endpoint: u32,
    /// The start of the endpoint's process in milliseconds of wall-clock time, if registered.
    pub started: Option<u64>,
    /// How long the request had run there, in milliseconds.
    pub ran_ms: u32,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
}

/// What a host knows of a request under which endpoints ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub request: Fingerprint,
    /// The endpoints that ended under it while it came from the reporting host.
    pub ends: Vec<ReportedEnd>,
    /// How long ago it last ended well, in milliseconds, if it has since the first of them.
    pub survived_ms: Option<u32>,
}

/// The end of an endpoint's process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    pub(crate) endpoint: u32,
    pub(crate) started: Option<u64>,
    /// When the request was sent there.
    pub(crate) began: Instant,
    pub(crate) at: Instant,
}

impl End {
    fn is_same(&self, other: &Self) -> bool {
        (self.endpoint, self.started) == (other.endpoint, other.started)
    }

    /// Returns whether this end and another one may have the same reason, as they came together.
    fn is_joint_with(&self, other: &Self) -> bool {
        let (first, last) = (self.at.min(other.at), self.at.max(other.at));
        last.duration_since(first) < JOINT_TIME
    }

    /// Returns whether an answer at `answered`, on a connection that was opened at `opened`, shows that the
    /// process did not end. A later connection may be one to its successor, whose registration is not
    /// known yet.
    pub(crate) fn is_refuted_by(&self, opened: Instant, answered: Instant) -> bool {
        opened < self.at && answered > self.at + REFUTATION_TIME
    }
}

/// A connection that an endpoint closed before it answered.
#[derive(Debug)]
struct Break {
    request: Fingerprint,
    key: EndpointKey,
    started: Option<u64>,
    began: Instant,
    at: Instant,
    /// The wall-clock time in milliseconds.
    wall: u64,
}

/// A request under which endpoints ended.
#[derive(Debug, Default)]
struct Suspect {
    own: Vec<End>,
    reported: HashMap<HostId, Vec<End>>,
    /// When the request last ended well, at any host.
    survived: Option<Instant>,
    /// Whether it ended well at the local host.
    survived_here: bool,
}

impl Suspect {
    /// Returns the ends that count, the oldest first: each endpoint's process once, and only the first of
    /// those that came together with the end of an endpoint which did not run the request. `all` are the
    /// ends under any request.
    fn ends(&self, all: &[End], is_refuted: impl Fn(&End) -> bool, now: Instant) -> Vec<End> {
        let counts = |end: &&End| {
            now.duration_since(end.at) < MEMORY
                && self.survived.is_none_or(|at| end.at > at)
                && !is_refuted(end)
        };
        let mut ends: Vec<End> = self.all_ends().filter(counts).copied().collect();
        ends.sort_by_key(|e| e.at);
        let ran = |end: &End| ends.iter().any(|e| e.is_same(end));
        let elsewhere: Vec<_> = all.iter().filter(|e| !ran(e)).collect();
        let separate = |ends: &[End]| {
            let mut kept: Vec<End> = Vec::new();
            for end in ends {
                let is_known = kept.iter().any(|e| e.is_same(end));
                let is_joint = kept.last().is_some_and(|e| e.is_joint_with(end))
                    && elsewhere.iter().any(|e| e.is_joint_with(end));
                if !is_known && !is_joint {
                    kept.push(*end);
                }
            }
            kept
        };
        let mut trusted: Vec<End> = self.own.iter().filter(counts).copied().collect();
        for reported in self.reported.values() {
            let reported: Vec<End> = reported.iter().filter(counts).copied().collect();
            let reported = separate(&reported);
            let newest = reported.len().saturating_sub(ENDS_PER_PEER);
            trusted.extend_from_slice(&reported[newest..]);
        }
        trusted.sort_by_key(|e| e.at);
        separate(&trusted)
    }

    fn all_ends(&self) -> impl Iterator<Item = &End> {
        self.own.iter().chain(self.reported.values().flatten())
    }

    fn last_end(&self) -> Option<Instant> {
        self.all_ends().map(|e| e.at).max()
    }
}

/// Returns the ends that count for others.
fn report_ends(ends: &[End], now: Instant) -> Vec<ReportedEnd> {
    let recent = ends.iter().filter(|e| now.duration_since(e.at) < MEMORY);
    let reports = recent.map(|e| ReportedEnd {
        endpoint: e.endpoint,
        started: e.started,
        ran_ms: millis_u32(e.at.duration_since(e.began)),
        age_ms: millis_u32(now.duration_since(e.at)),
    });
    reports.collect()
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time after the last of `ends` until a request may be tried again.
fn trial_gap(ends: &[End]) -> Duration {
    if ends.len() < REJECTED_ENDS {
        return Duration::ZERO;
    }
    let further = u32::try_from(ends.len() - REJECTED_ENDS).unwrap_or(u32::MAX);
    TRIAL_GAP
        .saturating_mul(2_u32.saturating_pow(further))
        .min(TRIAL_GAP_MAX)
}

/// Returns the time after which the next host may try a request.
fn trial_step(ends: &[End]) -> Duration {
    let longest = ends.iter().map(|e| e.at.duration_since(e.began)).max();
    longest
        .unwrap_or_default()
        .saturating_mul(TRIAL_STEP_FACTOR)
        .clamp(TRIAL_STEP_MIN, TRIAL_STEP_MAX)
}

/// Why a request is not sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SuspectRejection {
    /// The time after which it may be tried again.
    pub(crate) wait: Duration,
}

/// All requests under which endpoints ended, and the connections that broke lately.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    requests: HashMap<Fingerprint, Suspect>,
    breaks: VecDeque<Break>,
    /// The suspect requests of the local host that run at endpoints.
    running: Vec<(Fingerprint, EndpointKey)>,
    /// Requests to report to the other hosts at once.
    news: HashSet<Fingerprint>,
}

impl Suspects {
    /// Records that an endpoint closed the connection of a request before it answered.
    pub(crate) fn record_break(
        &mut self,
        request: Fingerprint,
        (key, started): (EndpointKey, Option<u64>),
        began: Instant,
        wall: u64,
        now: Instant,
    ) {
        while self
            .breaks
            .front()
            .is_some_and(|b| now.duration_since(b.at) >= BREAK_MEMORY)
        {
            self.breaks.pop_front();
        }
        self.breaks.push_back(Break {
            request,
            key,
            started,
            began,
            at: now,
            wall,
        });
    }

    /// Forgets the breaks at a process of an endpoint, which has not ended.
    pub(crate) fn discard_breaks(&mut self, key: EndpointKey, started: Option<u64>) {
        self.breaks.retain(|b| (b.key, b.started) != (key, started));
    }

    /// Records that a process of an endpoint has ended. Returns the requests that broke there.
    pub(crate) fn record_end(
        &mut self,
        key: EndpointKey,
        end: End,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let is_broken = |b: &Break| {
            (b.key, b.started) == (key, end.started) && now.duration_since(b.at) < BREAK_MEMORY
        };
        self.confirm(end, is_broken)
    }

    /// Records that an endpoint registered a process which was started at `born`, so that the one before
    /// has ended.
    pub(crate) fn record_restart(
        &mut self,
        key: EndpointKey,
        end: End,
        born: u64,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let is_broken = |b: &Break| {
            (b.key, b.started) == (key, end.started)
                && now.duration_since(b.at) < BREAK_MEMORY
                && b.wall <= born
        };
        self.confirm(end, is_broken)
    }

    fn confirm(&mut self, end: End, is_broken: impl Fn(&Break) -> bool) -> Vec<Fingerprint> {
        let (broken, kept) = std::mem::take(&mut self.breaks)
            .into_iter()
            .partition(is_broken);
        self.breaks = kept;
        let broken: VecDeque<Break> = broken;
        let mut requests = Vec::new();
        for Break {
            request, began, at, ..
        } in broken
        {
            self.make_room(request);
            let suspect = self.requests.entry(request).or_default();
            let end = End { began, at, ..end };
            if !suspect.own.iter().any(|e| e.is_same(&end)) {
                suspect.own.push(end);
                let excess = suspect.own.len().saturating_sub(ENDS_MAX);
                suspect.own.drain(..excess);
                suspect.survived_here = false;
            }
            self.news.insert(request);
            requests.push(request);
        }
        requests
    }

    /// Removes the request whose last end is the oldest, if there are as many as are kept.
    fn make_room(&mut self, request: Fingerprint) {
        if self.requests.len() < REQUESTS_MAX || self.requests.contains_key(&request) {
            return;
        }
        let oldest = self.requests.iter().min_by_key(|(_, s)| s.last_end());
        if let Some(oldest) = oldest.map(|(request, _)| *request) {
            self.requests.remove(&oldest);
            self.news.remove(&oldest);
        }
    }

    /// Returns the ends that count of a request.
    fn ends(
        &self,
        request: Fingerprint,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> Vec<End> {
        let suspect = self.requests.get(&request);
        suspect.map_or_else(Vec::new, |s| s.ends(&self.all_ends(now), is_refuted, now))
    }

    /// Returns the ends that are not old under any request.
    fn all_ends(&self, now: Instant) -> Vec<End> {
        let ends = self.requests.values().flat_map(Suspect::all_ends);
        ends.filter(|e| now.duration_since(e.at) < MEMORY)
            .copied()
            .collect()
    }

    /// Returns whether endpoints ended under a request lately, or may have.
    pub(crate) fn is_known(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request) || self.breaks.iter().any(|b| b.request == request)
    }

    /// Returns whether a request may be sent to an endpoint, and if so, the number of endpoints that ended
    /// under equal ones, `None` if none has, nor may have. `repeated` tells whether an endpoint has had it before in this attempt of
    /// the caller, `rank` how many other hosts come before the local one for trials.
    ///
    /// # Errors
    ///
    /// [`SuspectRejection`] if too many endpoints ended under it.
    pub(crate) fn check(
        &self,
        request: Fingerprint,
        repeated: bool,
        rank: usize,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> Result<Option<usize>, SuspectRejection> {
        let ends = self.ends(request, is_refuted, now);
        let recent = |b: &&Break| b.request == request && now.duration_since(b.at) < BREAK_MEMORY;
        let breaks = self.breaks.iter().filter(recent).count();
        let counted = ends.len() + if repeated { breaks } else { 0 };
        if counted < RESTRICTED_ENDS {
            return Ok((ends.len() + breaks > 0).then_some(ends.len()));
        }
        let step = trial_step(&ends);
        let Some(last) = ends.last().filter(|_| !repeated) else {
            return Err(SuspectRejection { wait: step });
        };
        let turn = step.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let open = last.at + trial_gap(&ends);
        let runs = self.running.iter().any(|(r, _)| *r == request);
        if now >= open + turn && !runs {
            return Ok(Some(ends.len()));
        }
        let wait = open.saturating_duration_since(now).max(step);
        Err(SuspectRejection { wait })
    }

    /// Records that a suspect request runs at an endpoint.
    pub(crate) fn start(&mut self, request: Fingerprint, key: EndpointKey) {
        self.running.push((request, key));
    }

    /// Records that such a run has ended.
    pub(crate) fn stop(&mut self, request: Fingerprint, key: EndpointKey) {
        let at = self.running.iter().position(|run| *run == (request, key));
        if let Some(at) = at {
            self.running.swap_remove(at);
        }
    }

    /// Returns whether a suspect request of the local host runs at an endpoint.
    pub(crate) fn runs_at(&self, key: EndpointKey) -> bool {
        self.running.iter().any(|(_, at)| *at == key)
    }

    /// Records whether a request ended well. Returns whether it is trusted again for that.
    pub(crate) fn finish(&mut self, request: Fingerprint, survived: bool, now: Instant) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        if !survived {
            return false;
        }
        let had_ends = suspect
            .last_end()
            .is_some_and(|last| suspect.survived.is_none_or(|at| last > at));
        suspect.survived = Some(now);
        if had_ends {
            suspect.survived_here = true;
            self.news.insert(request);
        }
        had_ends
    }

    /// Records what another host knows.
    pub(crate) fn learn(&mut self, host: &HostId, report: &SuspectReport, now: Instant) {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let survived = report.survived_ms.and_then(before);
        let ends = report.ends.iter().take(ENDS_MAX).filter_map(|end| {
            let at = before(end.age_ms)?;
            Some(End {
                endpoint: end.endpoint,
                started: end.started,
                began: at.checked_sub(Duration::from_millis(end.ran_ms.into()))?,
                at,
            })
        });
        let ends: Vec<End> = ends.collect();
        if ends.is_empty() && !self.requests.contains_key(&report.request) {
            return;
        }
        self.make_room(report.request);
        let suspect = self.requests.entry(report.request).or_default();
        suspect.survived = suspect.survived.max(survived);
        // Reports may arrive out of order.
        let known = suspect.reported.entry(host.clone()).or_default();
        for end in ends {
            if !known.iter().any(|e| e.is_same(&end)) {
                known.push(end);
            }
        }
        known.sort_by_key(|e| e.at);
        let excess = known.len().saturating_sub(ENDS_MAX);
        known.drain(..excess);
    }

    /// Returns whether there is something to report to the other hosts at once.
    pub(crate) fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the reports of what has changed since the last call; those with the most ends, if there are
    /// many.
    pub(crate) fn take_news(&mut self, now: Instant) -> Vec<SuspectReport> {
        let news = std::mem::take(&mut self.news);
        let mut reports: Vec<_> = news
            .into_iter()
            .filter_map(|r| self.report(r, now))
            .collect();
        reports.sort_by_key(|r| std::cmp::Reverse(r.ends.len()));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Returns the requests that are restricted or rejected.
    fn restricted(
        &self,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        let all = self.all_ends(now);
        self.requests
            .iter()
            .filter(move |(_, s)| s.ends(&all, &is_refuted, now).len() >= RESTRICTED_ENDS)
    }

    /// Returns what the local host knows itself of requests that are restricted or rejected, for hosts that
    /// have missed it.
    pub(crate) fn reports(
        &self,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> Vec<SuspectReport> {
        let restricted = self.restricted(is_refuted, now);
        let own = restricted.filter(|(_, s)| !s.own.is_empty());
        let reports = own.filter_map(|(r, _)| self.report(*r, now));
        reports.take(REPORTS_MAX).collect()
    }

    /// Returns what each other host has reported of such requests, for a host that has just started and may
    /// have lost what it knew itself.
    pub(crate) fn relayed(
        &self,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> HashMap<HostId, Vec<SuspectReport>> {
        let mut relayed: HashMap<HostId, Vec<SuspectReport>> = HashMap::new();
        for (request, suspect) in self.restricted(is_refuted, now).take(REPORTS_MAX) {
            for (host, ends) in &suspect.reported {
                let report = SuspectReport {
                    request: *request,
                    ends: report_ends(ends, now),
                    survived_ms: None,
                };
                relayed.entry(host.clone()).or_default().push(report);
            }
        }
        relayed
    }

    fn report(&self, request: Fingerprint, now: Instant) -> Option<SuspectReport> {
        let suspect = self.requests.get(&request)?;
        let survived = suspect.survived.filter(|_| suspect.survived_here);
        Some(SuspectReport {
            request,
            ends: report_ends(&suspect.own, now),
            survived_ms: survived.map(|at| millis_u32(now.duration_since(at))),
        })
    }

    /// Forgets requests whose ends no longer count.
    pub(crate) fn prune(&mut self, now: Instant) {
        let is_recent = |at| now.duration_since(at) < MEMORY;
        self.requests
            .retain(|_, s| s.last_end().is_some_and(is_recent));
        self.news.retain(|r| self.requests.contains_key(r));
    }

    /// Returns the number of requests that are restricted or rejected.
    pub(crate) fn count(&self, is_refuted: impl Fn(&End) -> bool, now: Instant) -> (u32, u32) {
        let (mut restricted, mut rejected) = (0, 0);
        let all = self.all_ends(now);
        for suspect in self.requests.values() {
            match suspect.ends(&all, &is_refuted, now).len() {
                0..RESTRICTED_ENDS => {}
                RESTRICTED_ENDS..REJECTED_ENDS => restricted += 1,
                REJECTED_ENDS.. => rejected += 1,
            }
        }
        (restricted, rejected)
    }
}
