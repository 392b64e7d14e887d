//! Reads of the table and of snapshots.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use wagtail_types::Epoch;

use super::collect::{Collect, Step};
use super::{ConfigSync, Reading, SyncEffect};
use crate::{Page, Snapshot, SnapshotRef, View};

impl ConfigSync {
    pub(super) fn poll(&mut self, now: Instant) {
        self.poll_at = now + self.interval();
        self.greet();
        let cold = self.view.epoch() == Epoch(0);
        let request = self.request();
        self.table = Some(Reading {
            request,
            asked: now,
            expires: now + self.settings.answer,
            base: None,
            collect: Collect::new(self.view.epoch()),
            fetching: false,
        });
        let limit = if cold { 0 } else { self.settings.page };
        self.scan(limit);
    }

    /// The time between polls: all hosts together stay within the fleet's budget of polls.
    pub(super) fn interval(&mut self) -> Duration {
        const SPREAD: std::ops::Range<f64> = 0.75..1.25;
        let hosts = self.peers.len() as f64 + 1.0;
        let share = Duration::from_secs_f64(hosts / f64::from(self.settings.polls.max(1)));
        self.settings
            .poll
            .max(share)
            .mul_f64(self.rng.random_range(SPREAD))
    }

    pub(super) fn scan(&mut self, limit: usize) {
        let Some(reading) = &self.table else { return };
        self.effects.push_back(SyncEffect::Scan {
            request: reading.request,
            since: reading.collect.since(),
            after: reading.collect.after().cloned(),
            limit,
        });
    }

    pub(super) fn scanned(
        &mut self,
        now: Instant,
        request: u64,
        page: Page,
        snapshot: Option<SnapshotRef>,
    ) {
        let Some(mut reading) = self.table.take_if(|r| r.request == request && !r.fetching) else {
            return;
        };
        let first = reading.collect.after().is_none();
        let cold = first && reading.base.is_none() && reading.collect.since() == Epoch(0);
        if cold && page.more && page.rows.is_empty() {
            self.start_cold(now, reading, snapshot);
            return;
        }
        match reading.collect.take(page, self.mutant.is_lax()) {
            Step::More => {
                self.adopt_partial(now, &reading.collect);
                reading.request = self.request();
                reading.expires = now + self.settings.answer;
                self.table = Some(reading);
                self.scan(self.settings.page);
            }
            Step::Whole(delta) => {
                if delta.head >= self.view.epoch() {
                    let (asked, epoch) = (reading.asked, delta.head);
                    self.effects.push_back(SyncEffect::Contact { asked, epoch });
                }
                self.adopt(now, reading.base.as_deref(), delta);
            }
            Step::Torn => {}
        }
    }

    /// Reads a whole configuration: from the snapshot if there is one, else from the table.
    pub(super) fn start_cold(
        &mut self,
        now: Instant,
        reading: Reading,
        snapshot: Option<SnapshotRef>,
    ) {
        let request = self.request();
        let expires = now + self.settings.answer;
        self.table = Some(Reading {
            request,
            expires,
            fetching: snapshot.is_some(),
            ..reading
        });
        match snapshot {
            Some(snapshot) => {
                self.effects
                    .push_back(SyncEffect::Fetch { request, snapshot });
            }
            None => self.scan(self.settings.page),
        }
    }

    pub(super) fn fetched(&mut self, now: Instant, request: u64, snapshot: Snapshot) {
        let Some(reading) = self.table.take_if(|r| r.request == request && r.fetching) else {
            return;
        };
        let base = if self.mutant.forgets_floor() {
            View::empty().apply(snapshot.epoch, snapshot.rows)
        } else {
            snapshot.into_view()
        };
        self.table = Some(Reading {
            request: self.request(),
            expires: now + self.settings.answer,
            collect: Collect::new(base.epoch()),
            base: Some(Arc::new(base)),
            fetching: false,
            ..reading
        });
        self.scan(self.settings.page);
    }

    /// A failed fetch is made good by a scan of the whole table.
    pub(super) fn failed(&mut self, now: Instant, request: u64) {
        let Some(reading) = self.table.take_if(|r| r.request == request) else {
            return;
        };
        if reading.fetching {
            self.start_cold(now, reading, None);
        }
    }
}
