//! The changes of the registry's records, and what is learned from them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use wagtail_types::HostId;

use super::{End, RESTRICTED_ENDS, SuspectCall, SuspectRecord, Suspects};
use crate::suspect::case::Case;

/// The age of a record in the registry from which on no host needs it: no host was asked for the request
/// for [`MEMORY`](super::MEMORY), else one had claimed a trial.
const RECORD_MEMORY: Duration = Duration::from_secs(48 * 60 * 60);

impl Suspects {
    /// Returns whether the local host knows requests that the registry should have records of.
    pub(crate) fn has_records(&self) -> bool {
        let mut cases = self.requests.values();
        let several = |c: &Case| c.process_count() >= RESTRICTED_ENDS && !c.is_cleared();
        cases.any(|c| c.record.version.is_some() || several(c))
    }

    /// Returns whether the registry may know more of a request under which an endpoint has just ended.
    pub(crate) fn lacks_records(&self) -> bool {
        self.unread
    }

    /// Returns whether a record is to be changed.
    pub(crate) fn has_calls(&self) -> bool {
        !self.calls.is_empty() || !self.stale.is_empty()
    }

    /// Returns the next change of a record; `wall` is the wall-clock time in milliseconds.
    pub(crate) fn next_call(
        &mut self,
        local: &HostId,
        wall: u64,
        now: Instant,
    ) -> Option<SuspectCall> {
        if let Some(call) = self.stale.pop() {
            return Some(call);
        }
        loop {
            let request = self.calls.pop_front()?;
            let Some(case) = self.requests.get_mut(&request) else {
                continue;
            };
            let version = case.record.version;
            case.record.obsolete &= case.is_cleared();
            if let Some(version) = version.filter(|_| case.record.obsolete) {
                return Some(SuspectCall::Remove { request, version });
            }
            let trial = case.record.trial_wanted;
            if !trial && !case.record.unsaved {
                continue;
            }
            let mut record = case.to_record(request, local, wall, now);
            if trial {
                record.trials.push(wall);
            }
            return Some(SuspectCall::Write {
                record,
                version: version.unwrap_or(0),
                trial,
            });
        }
    }

    /// Records that the registry has made a change; `version` is that of a written record.
    pub(crate) fn complete_call(&mut self, call: &SuspectCall, version: u64, now: Instant) {
        let Some(case) = self.requests.get_mut(&call.request()) else {
            return;
        };
        match call {
            SuspectCall::Write { trial, .. } => {
                case.record.version = Some(version);
                case.record.unsaved = false;
                if *trial {
                    case.record.trial_wanted = false;
                    case.grant(now);
                }
            }
            SuspectCall::Remove { .. } => {
                case.record.version = None;
                case.record.obsolete = false;
            }
        }
    }

    /// Records that a change was not made, or perhaps not. A trial is claimed again when a caller asks for
    /// it; other changes are repeated.
    pub(crate) fn fail_call(&mut self, call: &SuspectCall) {
        let request = call.request();
        let Some(case) = self.requests.get_mut(&request) else {
            return;
        };
        case.record.trial_wanted = false;
        if case.record.unsaved || case.record.obsolete {
            self.calls.push_back(request);
        }
    }

    /// Takes over all records that the registry had at `version`, each with its own. Those that no host needs
    /// any more are to be removed. Returns the number of requests that were not known.
    pub(crate) fn learn_records(
        &mut self,
        records: Vec<(SuspectRecord, u64)>,
        version: u64,
        wall: u64,
        now: Instant,
    ) -> usize {
        self.unread = false;
        let mut unknown = 0;
        let mut listed = HashSet::new();
        for (record, record_version) in records {
            listed.insert(record.request);
            let times = record
                .ends
                .iter()
                .map(|e| e.at)
                .chain(record.trials.clone());
            let newest = times.max().unwrap_or(0);
            let age = Duration::from_millis(wall.saturating_sub(newest));
            if age >= RECORD_MEMORY {
                self.stale.push(SuspectCall::Remove {
                    request: record.request,
                    version: record_version,
                });
            } else {
                unknown += usize::from(!self.requests.contains_key(&record.request));
                self.learn_record(&record, record_version, wall, now);
            }
        }
        for (request, case) in &mut self.requests {
            // A replica that lags behind may not have the record yet.
            let is_covered = case.record.version.is_some_and(|own| own <= version);
            let is_gone = is_covered && !listed.contains(request);
            if is_gone && !case.record.unsaved {
                // A host has seen it end well, or the operator has removed it.
                case.record.version = None;
                case.record.obsolete = false;
                case.survive(now);
            }
        }
        unknown
    }

    fn learn_record(&mut self, record: &SuspectRecord, version: u64, wall: u64, now: Instant) {
        let before = |at: u64| now.checked_sub(Duration::from_millis(wall.saturating_sub(at)));
        let mut by_host: HashMap<&HostId, Vec<End>> = HashMap::new();
        for end in &record.ends {
            let ran = Duration::from_millis(end.ran_ms.into());
            let Some(at) = before(end.at) else {
                continue;
            };
            by_host.entry(&end.host).or_default().push(End {
                endpoint: end.endpoint,
                started: end.started,
                began: at.checked_sub(ran).unwrap_or(at),
                at,
            });
        }
        let trials = record.trials.iter().filter_map(|at| before(*at));
        let case = self.case(record.request, now);
        for (host, ends) in by_host {
            case.add_reported(host, ends);
        }
        case.learn_trials(trials);
        case.record.version = Some(version);
    }

    /// Forgets what the registry has, as it was restored from an older copy: what is known is written again.
    pub(crate) fn reset_records(&mut self) {
        for (request, case) in &mut self.requests {
            if case.record.version.take().is_some() {
                case.record.unsaved = !case.is_cleared();
                case.record.obsolete = false;
                self.calls.push_back(*request);
            }
        }
    }
}
