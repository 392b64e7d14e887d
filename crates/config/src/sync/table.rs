//! Reads of the table and of snapshots.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use wagtail_types::Epoch;

use super::delta::{DeltaBuilder, Progress};
use super::{ConfigSync, SyncEffect, TableRead};
use crate::{Page, Snapshot, SnapshotRef, View};

impl ConfigSync {
    pub(super) fn poll(&mut self, now: Instant) {
        self.poll_at = now + self.poll_interval();
        self.announce_epoch();
        let cold = self.view.epoch() == Epoch(0);
        let request = self.next_request();
        self.table_read = Some(TableRead {
            request,
            requested_at: now,
            expires: now + self.settings.read_timeout,
            base: None,
            delta: DeltaBuilder::new(self.view.epoch()),
            fetching: false,
        });
        // A host without configuration reads only the head first, which names the snapshot to fetch.
        let limit = if cold { 0 } else { self.settings.page_rows };
        self.send_scan(limit);
    }

    /// Returns the time until the next poll, chosen so that all hosts together stay within the
    /// fleet's poll rate.
    pub(super) fn poll_interval(&mut self) -> Duration {
        const JITTER: std::ops::Range<f64> = 0.75..1.25;
        let hosts = self.peers.len() as f64 + 1.0;
        let share = Duration::from_secs_f64(hosts / f64::from(self.settings.poll_rate.max(1)));
        self.settings
            .poll_interval
            .max(share)
            .mul_f64(self.rng.random_range(JITTER))
    }

    pub(super) fn send_scan(&mut self, limit: usize) {
        let Some(read) = &self.table_read else { return };
        self.effects.push_back(SyncEffect::Scan {
            request: read.request,
            since: read.delta.since(),
            after: read.delta.after().cloned(),
            limit,
        });
    }

    pub(super) fn handle_scan(
        &mut self,
        now: Instant,
        request: u64,
        page: Page,
        snapshot: Option<SnapshotRef>,
    ) {
        let Some(mut read) = self
            .table_read
            .take_if(|r| r.request == request && !r.fetching)
        else {
            return;
        };
        let head = page.head;
        self.table_epoch = head;
        let first = read.delta.after().is_none();
        let cold = first && read.base.is_none() && read.delta.since() == Epoch(0);
        if cold && page.more && page.rows.is_empty() {
            self.read_all(now, read, snapshot);
            return;
        }
        let progress = read.delta.add_page(page, self.mutant.joins_inconsistent());
        if !matches!(progress, Progress::Inconsistent) && head >= self.view.epoch() {
            self.effects.push_back(SyncEffect::Contact {
                requested_at: read.requested_at,
                epoch: head,
            });
        }
        match progress {
            Progress::More => {
                self.adopt_partial(now, &read.delta);
                read.request = self.next_request();
                read.requested_at = now;
                read.expires = now + self.settings.read_timeout;
                self.table_read = Some(read);
                self.send_scan(self.settings.page_rows);
            }
            Progress::Complete(delta) => self.adopt(now, read.base.as_deref(), delta),
            Progress::Inconsistent => {}
        }
    }

    /// Reads the whole configuration, from the snapshot if there is one, otherwise from the table.
    pub(super) fn read_all(
        &mut self,
        now: Instant,
        read: TableRead,
        snapshot: Option<SnapshotRef>,
    ) {
        let request = self.next_request();
        let expires = now + self.settings.read_timeout;
        self.table_read = Some(TableRead {
            request,
            requested_at: now,
            expires,
            fetching: snapshot.is_some(),
            ..read
        });
        match snapshot {
            Some(snapshot) => {
                self.effects
                    .push_back(SyncEffect::Fetch { request, snapshot });
            }
            None => self.send_scan(self.settings.page_rows),
        }
    }

    pub(super) fn handle_fetch(&mut self, now: Instant, request: u64, snapshot: Snapshot) {
        let is_answer = |read: &mut TableRead| read.request == request && read.fetching;
        if self.table_read.take_if(is_answer).is_none() {
            return;
        }
        let base = if self.mutant.drops_floor() {
            View::empty().apply(snapshot.epoch, snapshot.rows)
        } else {
            snapshot.into_view()
        };
        self.table_read = Some(TableRead {
            request: self.next_request(),
            requested_at: now,
            expires: now + self.settings.read_timeout,
            delta: DeltaBuilder::new(base.epoch()),
            base: Some(Arc::new(base)),
            fetching: false,
        });
        self.send_scan(self.settings.page_rows);
    }

    /// Postpones the expiry of a read that is still in flight.
    pub(super) fn extend_read(&mut self, now: Instant, request: u64) {
        let timeout = self.settings.read_timeout;
        if let Some(read) = self.table_read.as_mut().filter(|r| r.request == request) {
            read.expires = now + timeout;
        }
    }

    /// Gives up a failed read. If a snapshot could not be fetched, the whole configuration is read
    /// from the table instead.
    pub(super) fn handle_failure(&mut self, now: Instant, request: u64) {
        let Some(read) = self.table_read.take_if(|r| r.request == request) else {
            return;
        };
        if read.fetching {
            self.read_all(now, read, None);
        }
    }
}
