//! Requests that may crash the endpoints which run them, as all hosts together see them.

use std::collections::HashMap;
use std::time::Instant;

use slotmap::SlotMap;
use wagtail_types::HostId;

use super::Steer;
use crate::endpoint::{CHECK_INTERVAL, Endpoint, EndpointKey};
use crate::hash::{name_hash, rendezvous_score};
use crate::suspect::{
    End, Fingerprint, SuspectCall, SuspectRecord, SuspectRejection, SuspectReport, SuspectSend,
};

/// How many requests are not run freely, because endpoints ended under them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Requests that run at one endpoint at a time.
    pub restricted: u32,
    /// Requests that are rejected.
    pub rejected: u32,
}

/// The endpoints by the hash that reports name them by.
#[derive(Debug, Clone, Copy)]
struct Processes<'a> {
    by_hash: &'a HashMap<u32, EndpointKey>,
    endpoints: &'a SlotMap<EndpointKey, Endpoint>,
}

impl Processes<'_> {
    /// Returns whether the process of an endpoint has answered after its reported end.
    fn refute(self, end: &End) -> bool {
        let endpoint = self.by_hash.get(&end.endpoint);
        let endpoint = endpoint.map(|&key| &self.endpoints[key]);
        let answered = endpoint
            .filter(|e| e.record.started == end.started)
            .and_then(|e| e.answered);
        answered.is_some_and(|(opened, at)| end.is_refuted_by(opened, at))
    }
}

impl Steer {
    fn processes(&self) -> Processes<'_> {
        Processes {
            by_hash: &self.by_hash,
            endpoints: &self.endpoints,
        }
    }

    /// Records that the process of an endpoint that was started at `started` closed the connection of a
    /// request that was sent at `began` before it answered. Whether it has ended must then be found out.
    /// `wall` is the wall-clock time in milliseconds.
    pub fn record_break(
        &mut self,
        request: Fingerprint,
        key: EndpointKey,
        started: Option<u64>,
        began: Instant,
        wall: u64,
        now: Instant,
    ) {
        self.suspects
            .record_break(request, (key, started), began, wall, now);
    }

    /// Records that an endpoint accepts connections, so that the connections it closed lately do not mean
    /// that it has ended.
    pub fn record_open(&mut self, key: EndpointKey, started: Option<u64>) {
        self.suspects.discard_breaks(key, started);
    }

    /// Records that an endpoint refuses connections. Returns the requests that broke there lately, under
    /// which it has ended; none if it leaves.
    pub fn record_refusal(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
        now: Instant,
    ) -> Vec<Fingerprint> {
        let Some(endpoint) = self.process(key, started) else {
            return Vec::new();
        };
        if endpoint.is_leaving() {
            self.suspects.discard_breaks(key, started);
            return Vec::new();
        }
        endpoint.check_at.get_or_insert(now + CHECK_INTERVAL);
        let end = End {
            endpoint: endpoint.hash,
            started,
            began: now,
            at: now,
        };
        self.suspects.record_end(key, end, now)
    }

    /// Returns whether a request may be sent to an endpoint, as far as it may crash it, and if so, the number
    /// of endpoints that ended under it, `None` if it is not suspect; `repeated` tells whether an endpoint
    /// has had it before in this attempt of the caller.
    pub(super) fn check_suspect(
        &mut self,
        request: Fingerprint,
        repeated: bool,
        now: Instant,
    ) -> Result<Option<usize>, SuspectRejection> {
        if !self.suspects.is_known(request) {
            return Ok(None);
        }
        let local = name_hash(self.local.record.id.as_str());
        let own = rendezvous_score(request.hash(), local);
        let ahead = self.ready_peers(None, now);
        let ahead = ahead
            .iter()
            .filter(|&&peer| rendezvous_score(request.hash(), peer) > own);
        let send = SuspectSend {
            repeated,
            rank: ahead.count(),
        };
        let processes = Processes {
            by_hash: &self.by_hash,
            endpoints: &self.endpoints,
        };
        self.suspects
            .check(request, send, |end| processes.refute(end), now)
    }

    /// Leaves out endpoints at which another suspect request runs, if there are others, so that the one that
    /// ends its endpoint is told from those beside it.
    pub(super) fn separate_suspects(&self, usable: &mut Vec<EndpointKey>) {
        let is_free = |key: &EndpointKey| !self.suspects.runs_at(*key);
        if usable.iter().any(is_free) {
            usable.retain(is_free);
        }
    }

    /// Records that the process of an endpoint that was started at `started` answers on a connection that
    /// was opened at `opened`.
    pub fn record_answer(
        &mut self,
        key: EndpointKey,
        started: Option<u64>,
        opened: Instant,
        now: Instant,
    ) {
        if let Some(endpoint) = self.process(key, started) {
            endpoint.answered = Some((opened, now));
        }
    }

    /// Returns whether something has changed about suspect requests that the other hosts should hear of.
    pub fn has_suspect_news(&self) -> bool {
        self.suspects.has_news()
    }

    /// Returns what has changed about suspect requests since the last call, for all other hosts.
    pub fn take_suspect_news(&mut self, now: Instant) -> Vec<SuspectReport> {
        self.suspects.take_news(now)
    }

    /// Returns what the local host knows of requests that are restricted or rejected.
    pub fn suspect_reports(&self, now: Instant) -> Vec<SuspectReport> {
        self.suspects
            .reports(|end| self.processes().refute(end), now)
    }

    /// Returns what the other hosts have told of such requests, by host, for a host that has just started.
    pub fn relayed_suspects(&self, now: Instant) -> HashMap<HostId, Vec<SuspectReport>> {
        self.suspects
            .relayed(|end| self.processes().refute(end), now)
    }

    /// Records what another host, or an earlier process of this one, knows of suspect requests.
    pub fn learn_suspects(&mut self, host: &HostId, reports: &[SuspectReport], now: Instant) {
        for report in reports {
            self.suspects.learn(host, report, now);
        }
    }

    /// Forgets requests that ended well, or that were not asked for long, and counts the others.
    pub fn review_suspects(&mut self, now: Instant) -> SuspectCounts {
        let processes = Processes {
            by_hash: &self.by_hash,
            endpoints: &self.endpoints,
        };
        let (restricted, rejected) = self.suspects.review(|end| processes.refute(end), now);
        SuspectCounts {
            restricted,
            rejected,
        }
    }

    /// Returns whether this host knows requests that the registry should have records of.
    pub fn has_suspect_records(&self) -> bool {
        self.suspects.has_records()
    }

    /// Returns whether endpoints ended under a request, or may have lately.
    pub fn knows_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.is_known(request)
    }

    /// Returns whether the records should be read at once, as an endpoint has ended under a request of which
    /// the registry may know more.
    pub fn lacks_suspect_records(&self) -> bool {
        self.suspects.lacks_records()
    }

    /// Returns whether a record of the registry is to be changed.
    pub fn has_suspect_calls(&self) -> bool {
        self.suspects.has_calls()
    }

    /// Returns the next change of a record, whose end is then to be told by
    /// [`complete_suspect_call`](Self::complete_suspect_call) or
    /// [`fail_suspect_call`](Self::fail_suspect_call). `wall` is the wall-clock time in milliseconds.
    pub fn next_suspect_call(&mut self, wall: u64, now: Instant) -> Option<SuspectCall> {
        self.suspects.next_call(&self.local.record.id, wall, now)
    }

    /// Records that the registry has made a change; `version` is that of a written record. A trial that
    /// was claimed is sent when a caller next asks for it.
    pub fn complete_suspect_call(&mut self, call: &SuspectCall, version: u64, now: Instant) {
        self.suspects.complete_call(call, version, now);
    }

    /// Records that a change was not made, or perhaps not.
    pub fn fail_suspect_call(&mut self, call: &SuspectCall) {
        self.suspects.fail_call(call);
    }

    /// Takes over all records that the registry had at `version`, each with its own. Returns the number of
    /// requests that were not known.
    pub fn learn_suspect_records(
        &mut self,
        records: Vec<(SuspectRecord, u64)>,
        version: u64,
        wall: u64,
        now: Instant,
    ) -> usize {
        self.suspects.learn_records(records, version, wall, now)
    }
}
