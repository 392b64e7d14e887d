//! Requests that may crash the endpoints which run them.
//!
//! A request is identified by what it asks, as callers repeat it under other ids. Each host records under
//! which requests endpoints ended, and tells the other hosts. A request that ends well is trusted again.
//! Until then what is known of it is kept in the registry, and hosts claim there the few trials that a
//! rejected request has.

mod case;
mod end;
mod record;
mod registry;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtail_types::HostId;
use xxhash_rust::xxh3::Xxh3;

use self::case::Case;
pub(crate) use self::end::End;
use self::end::EndLog;
pub use self::record::{RecordedEnd, SuspectCall, SuspectRecord};
use crate::endpoint::EndpointKey;

/// The number of ended endpoints from which on a request runs at one endpoint at a time.
const RESTRICTED_ENDS: usize = 2;
/// The number of ended endpoints from which on a request is rejected, except for trials.
const REJECTED_ENDS: usize = 3;
/// How long a request is remembered after it has last ended an endpoint, was tried or was asked.
const MEMORY: Duration = Duration::from_secs(24 * 60 * 60);
/// How long a request that has ended well is remembered; longer than late reports of the ends before are on
/// their way.
const CLEARED_MEMORY: Duration = Duration::from_secs(60);
/// The time after which the next host may try a restricted or rejected request, in the order of their
/// rendezvous scores, so that one host at a time does. It is this multiple of the time that such a
/// request has taken to end an endpoint.
const TRIAL_STEP_FACTOR: u32 = 2;
const TRIAL_STEP_MIN: Duration = Duration::from_millis(200);
const TRIAL_STEP_MAX: Duration = Duration::from_secs(2);
/// How long a broken connection is kept as a possible sign that the endpoint has ended.
const BREAK_MEMORY: Duration = Duration::from_secs(5);
/// The number of requests under which one endpoint ended that are kept; the first one makes room. There
/// are as many as ran at an endpoint that crashed.
const SINGLE_MAX: usize = 256;
/// The number of requests that are kept; one that no caller asks for makes room.
const REQUESTS_MAX: usize = 16_384;
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

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
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

/// The way in which a suspect request is about to be sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspectSend {
    /// Whether an endpoint has had it before in this attempt of the caller.
    pub(crate) repeated: bool,
    /// The number of other hosts that come before the local one for trials.
    pub(crate) rank: usize,
}

/// How a run of a request ended, as far as it tells whether the request is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SuspectRun {
    /// It ended well.
    Survived,
    /// It was not sent.
    Unsent,
    /// It tells nothing.
    Unclear,
}

/// All requests under which endpoints ended, and the connections that broke lately.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    requests: HashMap<Fingerprint, Case>,
    /// The requests in the order in which they were first known, as long as one endpoint has ended.
    singles: VecDeque<Fingerprint>,
    log: EndLog,
    breaks: VecDeque<Break>,
    /// The suspect requests of the local host that run at endpoints.
    running: Vec<(Fingerprint, EndpointKey)>,
    /// Requests to report to the other hosts at once.
    news: HashSet<Fingerprint>,
    /// The requests whose records are to be changed in the registry.
    calls: VecDeque<Fingerprint>,
    /// Removals of records that no host needs any more.
    stale: Vec<SuspectCall>,
    /// Whether an endpoint ended under a request that was not known, since the records were read.
    unread: bool,
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
        self.confirm(end, is_broken, now)
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
        self.confirm(end, is_broken, now)
    }

    fn confirm(
        &mut self,
        end: End,
        is_broken: impl Fn(&Break) -> bool,
        now: Instant,
    ) -> Vec<Fingerprint> {
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
            let end = End { began, at, ..end };
            self.log.record(end, now);
            self.unread |= !self.requests.contains_key(&request);
            self.case(request, now).add_own(end);
            self.news.insert(request);
            requests.push(request);
        }
        requests
    }

    /// Returns what is known of a request, after making room for it.
    fn case(&mut self, request: Fingerprint, now: Instant) -> &mut Case {
        if !self.requests.contains_key(&request) {
            self.make_room();
            self.singles.push_back(request);
        }
        let case = self.requests.entry(request);
        case.or_insert_with(|| Case::new(now))
    }

    fn make_room(&mut self) {
        let single = |c: &Case| c.process_count() < RESTRICTED_ENDS;
        while self.singles.len() >= SINGLE_MAX
            && let Some(first) = self.singles.pop_front()
        {
            if self.requests.get(&first).is_some_and(single) {
                self.forget(first);
            }
        }
        if self.requests.len() >= REQUESTS_MAX {
            let unasked = |(_, c): &(&Fingerprint, &Case)| (c.asked, c.last_activity());
            let idle = self.requests.iter().min_by_key(unasked);
            if let Some(idle) = idle.map(|(request, _)| *request) {
                self.forget(idle);
            }
        }
    }

    fn forget(&mut self, request: Fingerprint) {
        self.requests.remove(&request);
        self.news.remove(&request);
    }

    /// Returns whether endpoints ended under a request, or may have lately.
    pub(crate) fn is_known(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request) || self.breaks.iter().any(|b| b.request == request)
    }

    /// Returns whether a request may be sent to an endpoint, and if so, the number of endpoints that ended
    /// under equal ones, `None` if none has, nor may have.
    ///
    /// # Errors
    ///
    /// [`SuspectRejection`] if too many endpoints ended under it.
    pub(crate) fn check(
        &mut self,
        request: Fingerprint,
        send: SuspectSend,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> Result<Option<usize>, SuspectRejection> {
        let recent = |b: &&Break| b.request == request && now.duration_since(b.at) < BREAK_MEMORY;
        let breaks = self.breaks.iter().filter(recent).count();
        let Some(case) = self.requests.get_mut(&request) else {
            return if send.repeated && breaks >= RESTRICTED_ENDS {
                Err(SuspectRejection {
                    wait: TRIAL_STEP_MIN,
                })
            } else {
                Ok((breaks > 0).then_some(0))
            };
        };
        case.active = now;
        case.asked = true;
        let ends = case.ends(&self.log, is_refuted);
        let counted = ends.len() + if send.repeated { breaks } else { 0 };
        if counted < RESTRICTED_ENDS {
            return Ok((ends.len() + breaks > 0).then_some(ends.len()));
        }
        let step = trial_step(&ends);
        let Some(last) = ends.last().filter(|_| !send.repeated) else {
            return Err(SuspectRejection { wait: step });
        };
        let turn = step.saturating_mul(u32::try_from(send.rank).unwrap_or(u32::MAX));
        let runs = self.running.iter().any(|(r, _)| *r == request);
        let Some(due) = case.next_trial(&ends) else {
            return if now >= last.at + turn && !runs {
                Ok(Some(ends.len()))
            } else {
                Err(SuspectRejection { wait: step })
            };
        };
        if case.is_granted() && !runs {
            case.take_grant();
            return Ok(Some(ends.len()));
        }
        if now >= due + turn && !runs && !case.record.trial_wanted {
            case.record.trial_wanted = true;
            self.calls.push_back(request);
        }
        let wait = due.saturating_duration_since(now).max(step);
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

    /// Records how a run of a request ended; `ended` is the number of endpoints that had ended under equal
    /// ones when it was sent. Returns whether the request is trusted again.
    pub(crate) fn finish(
        &mut self,
        request: Fingerprint,
        ended: Option<usize>,
        run: SuspectRun,
        now: Instant,
    ) -> bool {
        let Some(case) = self.requests.get_mut(&request) else {
            return false;
        };
        match run {
            SuspectRun::Survived => {
                let cleared = case.survive(now);
                if cleared {
                    case.survived_here = true;
                    self.news.insert(request);
                    if case.record.obsolete {
                        self.calls.push_back(request);
                    }
                }
                cleared
            }
            SuspectRun::Unsent => {
                if ended >= Some(REJECTED_ENDS) {
                    case.return_grant();
                }
                false
            }
            SuspectRun::Unclear => false,
        }
    }

    /// Records what another host knows.
    pub(crate) fn learn(&mut self, host: &HostId, report: &SuspectReport, now: Instant) {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let survived = report.survived_ms.and_then(before);
        let ends = report.ends.iter().filter_map(|end| {
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
        for end in &ends {
            self.log.record(*end, now);
        }
        let case = self.case(report.request, now);
        case.active = now;
        case.add_reported(host, ends);
        if let Some(at) = survived
            && case.survive(at)
            && case.record.obsolete
        {
            self.calls.push_back(report.request);
        }
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

    /// Returns the requests that are restricted or rejected, those first that were active last, as many as
    /// one message reports.
    fn restricted(
        &self,
        is_refuted: impl Fn(&End) -> bool,
    ) -> impl Iterator<Item = (&Fingerprint, &Case)> {
        let several = |c: &Case| c.process_count() >= RESTRICTED_ENDS;
        let mut known: Vec<_> = self.requests.iter().filter(|(_, c)| several(c)).collect();
        known.sort_by_key(|(_, c)| std::cmp::Reverse(c.last_activity()));
        known
            .into_iter()
            .filter(move |(_, c)| c.ends(&self.log, &is_refuted).len() >= RESTRICTED_ENDS)
            .take(REPORTS_MAX)
    }

    /// Returns what the local host knows itself of requests that are restricted or rejected, for hosts that
    /// have missed it.
    pub(crate) fn reports(
        &self,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> Vec<SuspectReport> {
        let restricted = self.restricted(is_refuted);
        let own = restricted.filter(|(_, c)| !c.own.is_empty());
        own.filter_map(|(r, _)| self.report(*r, now)).collect()
    }

    /// Returns what each other host has reported of such requests, for a host that has just started and may
    /// have lost what it knew itself.
    pub(crate) fn relayed(
        &self,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> HashMap<HostId, Vec<SuspectReport>> {
        let mut relayed: HashMap<HostId, Vec<SuspectReport>> = HashMap::new();
        for (request, case) in self.restricted(is_refuted) {
            for (host, ends) in case.peer_reports(now) {
                let report = SuspectReport {
                    request: *request,
                    ends,
                    survived_ms: None,
                };
                relayed.entry(host.clone()).or_default().push(report);
            }
        }
        relayed
    }

    fn report(&self, request: Fingerprint, now: Instant) -> Option<SuspectReport> {
        let case = self.requests.get(&request)?;
        let survived = case.survived.filter(|_| case.survived_here);
        Some(SuspectReport {
            request,
            ends: case.own_reports(now),
            survived_ms: survived.map(|at| millis_u32(now.saturating_duration_since(at))),
        })
    }

    /// Forgets requests that ended well, or that were not asked for long, finds those whose records are to
    /// be written, and returns the number of requests that are restricted and rejected.
    pub(crate) fn review(&mut self, is_refuted: impl Fn(&End) -> bool, now: Instant) -> (u32, u32) {
        let is_kept = |case: &Case| {
            if case.is_cleared() && !case.record.obsolete {
                let age = |at| now.saturating_duration_since(at);
                return case.last_end().map(age) < Some(CLEARED_MEMORY);
            }
            now.saturating_duration_since(case.last_activity()) < MEMORY
        };
        self.requests.retain(|_, c| is_kept(c));
        self.news.retain(|r| self.requests.contains_key(r));
        self.singles.retain(|r| self.requests.contains_key(r));
        let (mut restricted, mut rejected) = (0, 0);
        for (request, case) in &mut self.requests {
            let count = case.review(&self.log, &is_refuted, now);
            match count {
                0..RESTRICTED_ENDS => {}
                RESTRICTED_ENDS..REJECTED_ENDS => restricted += 1,
                REJECTED_ENDS.. => rejected += 1,
            }
            if case.needs_record(count) && !self.calls.contains(request) {
                self.calls.push_back(*request);
            }
        }
        (restricted, rejected)
    }
}
