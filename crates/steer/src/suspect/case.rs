//! What is known of one request under which endpoints ended.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::HostId;

use super::end::{End, EndLog};
use super::record::{RecordedEnd, SuspectRecord};
use super::{Fingerprint, REJECTED_ENDS, RESTRICTED_ENDS, ReportedEnd, millis_u32};

/// The number of ends that count of what another host reports, so that no single host can have a request
/// rejected by all.
const ENDS_PER_PEER: usize = 2;
/// The number of ends that are kept of one host; more add nothing.
const ENDS_MAX: usize = 8;
/// The number of hosts whose reports are kept.
const REPORTERS_MAX: usize = 32;
/// The number of ends that a record has.
const RECORDED_ENDS_MAX: usize = 16;
/// The time after which it is known whether an end came together with others.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// The time from the last end, or trial, to the first, second and each further trial of a rejected request.
/// Of the three sends that it may have in a day, one is left for an end that is not known everywhere.
const TRIAL_GAPS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(10 * 60),
    Duration::from_secs(24 * 60 * 60),
];
/// How much the times of a trial may differ between hosts; less than the time between two that hosts claim.
const TRIAL_TOLERANCE: Duration = Duration::from_secs(60);
/// The number of trials that are kept.
const TRIALS_MAX: usize = TRIAL_GAPS.len();

/// How a request's record in the registry compares to what the host knows.
#[derive(Debug, Default)]
pub(super) struct RecordState {
    /// The version of the record that the host has read or written.
    pub(super) version: Option<u64>,
    /// Whether the host knows more than the record.
    pub(super) unsaved: bool,
    /// Whether a caller waits for a trial that is due.
    pub(super) trial_wanted: bool,
    /// Whether the record is to be removed.
    pub(super) obsolete: bool,
}

/// A request under which endpoints ended.
#[derive(Debug)]
pub(super) struct Case {
    pub(super) own: Vec<End>,
    reported: HashMap<HostId, Vec<End>>,
    /// The processes whose ends do not count, as they ended together with others or have not ended.
    discounted: Vec<(u32, Option<u64>)>,
    /// The number of ends that count, once that no longer changes by itself.
    settled: Option<usize>,
    /// When the request last ended well, at any host.
    pub(super) survived: Option<Instant>,
    /// Whether it ended well at the local host.
    pub(super) survived_here: bool,
    /// When hosts claimed trials, the oldest first.
    trials: Vec<Instant>,
    /// When the local host claimed a trial that it has not sent yet.
    granted: Option<Instant>,
    /// When a caller last asked for it here, or another host told of it.
    pub(super) active: Instant,
    /// Whether a caller has asked for it here.
    pub(super) asked: bool,
    pub(super) record: RecordState,
}

impl Case {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            own: Vec::new(),
            reported: HashMap::new(),
            discounted: Vec::new(),
            settled: None,
            survived: None,
            survived_here: false,
            trials: Vec::new(),
            granted: None,
            active: now,
            asked: false,
            record: RecordState::default(),
        }
    }

    fn all_ends(&self) -> impl Iterator<Item = &End> {
        self.own.iter().chain(self.reported.values().flatten())
    }

    /// Returns whether an end may count: the request has not ended well since, and nothing is known against
    /// it.
    fn counts(&self, end: &End) -> bool {
        self.survived.is_none_or(|at| end.at > at)
            && !self.discounted.contains(&(end.endpoint, end.started))
    }

    /// Returns the number of processes that ended, whether they count or not.
    pub(super) fn process_count(&self) -> usize {
        let mut processes: Vec<_> = self.all_ends().map(|e| (e.endpoint, e.started)).collect();
        processes.sort_unstable();
        processes.dedup();
        processes.len()
    }

    /// Returns the ends that count, the oldest first: each endpoint's process once, and only the first of
    /// those that came together with the end of an endpoint which did not run the request.
    pub(super) fn ends(&self, log: &EndLog, is_refuted: impl Fn(&End) -> bool) -> Vec<End> {
        let counts = |end: &&End| self.counts(end) && !is_refuted(end);
        let mut trusted: Vec<End> = self.own.iter().filter(counts).copied().collect();
        for reported in self.reported.values() {
            let reported = reported.iter().filter(counts).copied().collect();
            let reported = self.separate(reported, log);
            let newest = reported.len().saturating_sub(ENDS_PER_PEER);
            trusted.extend_from_slice(&reported[newest..]);
        }
        self.separate(trusted, log)
    }

    /// Returns one end for each process and for each reason that may have ended several.
    fn separate(&self, mut ends: Vec<End>, log: &EndLog) -> Vec<End> {
        ends.sort_by_key(|e| e.at);
        let ran = |end: &End| self.all_ends().any(|e| e.is_same(end));
        let mut kept: Vec<End> = Vec::new();
        for end in ends {
            let is_known = kept.iter().any(|e| e.is_same(&end));
            let is_joint = kept.last().is_some_and(|e| e.is_joint_with(&end))
                && log.near(&end).any(|e| !ran(e));
            if !is_known && !is_joint {
                kept.push(end);
            }
        }
        kept
    }

    /// Returns the number of ends that count. Once no more is to be heard of them, those that do not count
    /// are remembered, as the ends of other requests are forgotten sooner.
    pub(super) fn review(
        &mut self,
        log: &EndLog,
        is_refuted: impl Fn(&End) -> bool,
        now: Instant,
    ) -> usize {
        if let Some(count) = self.settled {
            return count;
        }
        let count = self.ends(log, &is_refuted).len();
        let is_young = |e: &End| now.duration_since(e.at) < SETTLE_TIME;
        if !self.all_ends().any(is_young) {
            let counting: Vec<End> = self
                .all_ends()
                .filter(|e| self.counts(e))
                .copied()
                .collect();
            let kept = self.separate(counting.clone(), log);
            let dropped = counting
                .iter()
                .filter(|e| is_refuted(e) || !kept.iter().any(|k| k.is_same(e)));
            let dropped: Vec<_> = dropped.map(|e| (e.endpoint, e.started)).collect();
            self.discounted.extend(dropped);
            self.settled = Some(count);
        }
        count
    }

    pub(super) fn last_end(&self) -> Option<Instant> {
        self.all_ends().map(|e| e.at).max()
    }

    /// Returns the last time at which the request ended an endpoint, was to be tried or was asked.
    pub(super) fn last_activity(&self) -> Instant {
        let times = self.trials.last().copied().into_iter();
        times.chain(self.last_end()).fold(self.active, Instant::max)
    }

    /// Adds an end that the local host has seen. Returns whether it was not known.
    pub(super) fn add_own(&mut self, end: End) -> bool {
        if self.own.iter().any(|e| e.is_same(&end)) {
            return false;
        }
        self.own.push(end);
        let excess = self.own.len().saturating_sub(ENDS_MAX);
        self.own.drain(..excess);
        self.survived_here = false;
        self.record.unsaved = true;
        self.settled = None;
        true
    }

    /// Adds ends that another host has seen. Reports may arrive out of order.
    pub(super) fn add_reported(&mut self, host: &HostId, ends: impl IntoIterator<Item = End>) {
        if self.reported.len() >= REPORTERS_MAX && !self.reported.contains_key(host) {
            return;
        }
        let known = self.reported.entry(host.clone()).or_default();
        for end in ends.into_iter().take(ENDS_MAX) {
            if !known.iter().any(|e| e.is_same(&end)) {
                known.push(end);
                self.settled = None;
            }
        }
        known.sort_by_key(|e| e.at);
        let excess = known.len().saturating_sub(ENDS_MAX);
        known.drain(..excess);
    }

    /// Records that the request ended well at `at`, here or at another host. Returns whether ends counted
    /// until then and none does now.
    pub(super) fn survive(&mut self, at: Instant) -> bool {
        let counted = self.all_ends().any(|e| self.counts(e));
        self.survived = self.survived.max(Some(at));
        self.settled = None;
        let cleared = counted && !self.all_ends().any(|e| self.counts(e));
        if cleared {
            self.trials.clear();
            self.granted = None;
            self.record.unsaved = false;
            self.record.trial_wanted = false;
            self.record.obsolete = self.record.version.is_some();
        }
        cleared
    }

    /// Returns whether nothing counts against the request any more.
    pub(super) fn is_cleared(&self) -> bool {
        self.survived.is_some() && !self.all_ends().any(|e| self.counts(e))
    }

    /// Returns when the next trial of a rejected request is due; `ends` are those that count.
    pub(super) fn next_trial(&self, ends: &[End]) -> Option<Instant> {
        let last = ends.last().filter(|_| ends.len() >= REJECTED_ENDS)?;
        let after = self.trials.last().map_or(last.at, |at| last.at.max(*at));
        let gap = TRIAL_GAPS[self.trials.len().min(TRIAL_GAPS.len() - 1)];
        Some(after + gap)
    }

    fn add_trials(&mut self, trials: impl IntoIterator<Item = Instant>) {
        self.trials.extend(trials);
        self.trials.sort_unstable();
        self.trials
            .dedup_by(|later, earlier| later.duration_since(*earlier) < TRIAL_TOLERANCE);
        let excess = self.trials.len().saturating_sub(TRIALS_MAX);
        self.trials.drain(..excess);
    }

    /// Records that the local host has claimed a trial.
    pub(super) fn grant(&mut self, now: Instant) {
        self.add_trials([now]);
        self.granted = Some(now);
    }

    pub(super) fn is_granted(&self) -> bool {
        self.granted.is_some()
    }

    /// Uses the trial that the local host has claimed.
    pub(super) fn take_grant(&mut self) {
        self.granted = None;
    }

    /// Takes back that a trial was used, as it could not be sent.
    pub(super) fn return_grant(&mut self) {
        self.granted = self.trials.last().copied();
    }

    /// Adds the trials that the registry knows.
    pub(super) fn learn_trials(&mut self, trials: impl IntoIterator<Item = Instant>) {
        let before = self.trials.last().copied();
        self.add_trials(trials);
        if self.trials.last().copied() > before.map(|at| at + TRIAL_TOLERANCE) {
            // Another host has the next one.
            self.granted = None;
            self.record.trial_wanted = false;
        }
    }

    /// Returns whether the registry should have a record of the request.
    pub(super) fn needs_record(&self, counted: usize) -> bool {
        self.record.unsaved && counted >= RESTRICTED_ENDS
    }

    /// Returns the ends that the local host has seen, for others.
    pub(super) fn own_reports(&self, now: Instant) -> Vec<ReportedEnd> {
        self.own.iter().map(|e| report_end(e, now)).collect()
    }

    /// Returns the ends that each other host has reported.
    pub(super) fn peer_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&HostId, Vec<ReportedEnd>)> {
        let report = move |ends: &Vec<End>| ends.iter().map(|e| report_end(e, now)).collect();
        self.reported
            .iter()
            .map(move |(host, ends)| (host, report(ends)))
    }

    /// Returns the record of the request; `wall` is the wall-clock time in milliseconds.
    pub(super) fn to_record(
        &self,
        request: Fingerprint,
        local: &HostId,
        wall: u64,
        now: Instant,
    ) -> SuspectRecord {
        let wall_at = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            wall.saturating_sub(u64::try_from(age).unwrap_or(u64::MAX))
        };
        let own = self.own.iter().map(|e| (local, e));
        let reported = self.reported.iter();
        let reported = reported.flat_map(|(host, ends)| ends.iter().map(move |e| (host, e)));
        let mut ends: Vec<_> = own
            .chain(reported)
            .filter(|(_, e)| self.counts(e))
            .map(|(host, e)| RecordedEnd {
                host: host.clone(),
                endpoint: e.endpoint,
                started: e.started,
                ran_ms: millis_u32(e.at.duration_since(e.began)),
                at: wall_at(e.at),
            })
            .collect();
        ends.sort_by_key(|e| e.at);
        ends.dedup_by_key(|e| (e.host.clone(), e.endpoint, e.started));
        ends.truncate(RECORDED_ENDS_MAX);
        SuspectRecord {
            request,
            ends,
            trials: self.trials.iter().map(|at| wall_at(*at)).collect(),
        }
    }
}

fn report_end(end: &End, now: Instant) -> ReportedEnd {
    ReportedEnd {
        endpoint: end.endpoint,
        started: end.started,
        ran_ms: millis_u32(end.at.duration_since(end.began)),
        age_ms: millis_u32(now.saturating_duration_since(end.at)),
    }
}
