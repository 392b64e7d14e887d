//! The whole configuration at one epoch.

mod index;

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use wagtail_types::{
    EndpointId, Epoch, HostId, KeyDigest, RecordId, RegionId, ServiceId, SiteId, TeamId, ZoneId,
};

use crate::{
    Blocks, ConfigError, Cursor, Drain, Endpoint, Host, Move, Page, Record, RecordKey, Region, Row,
    Service, Site, Team, Zone,
};
use index::Index;

/// Holds every record at one epoch, immutably. Clones share their contents.
///
/// A record that refers to another one which is not in force is not in force either and is listed
/// among the [`issues`](View::issues). Records of unknown kinds or schema versions are kept.
#[derive(Debug, Clone, Default)]
pub struct View {
    epoch: Epoch,
    /// Withdrawn records up to this epoch may be missing.
    floor: Epoch,
    rows: BTreeMap<Arc<RecordKey>, Arc<Row>>,
    changes: BTreeMap<(Epoch, Arc<RecordKey>), Arc<Row>>,
    records: BTreeMap<Arc<RecordKey>, Arc<Record>>,
    faults: BTreeMap<Arc<RecordKey>, ConfigError>,
    index: Arc<Index>,
}

impl View {
    /// The most withdrawn records that a view keeps; the oldest are dropped first.
    pub const MAX_TOMBSTONES: usize = 4_096;

    /// Returns the view at epoch zero, which has no records.
    pub fn empty() -> Self {
        Self::default()
    }

    /// Creates a view of `rows` alone, from a source that no longer knows which records were
    /// withdrawn up to the epoch `floor`.
    pub fn from_rows(epoch: Epoch, floor: Epoch, rows: impl IntoIterator<Item = Row>) -> Self {
        let base = Self {
            floor,
            ..Self::default()
        };
        base.apply(epoch, rows)
    }

    /// Returns the view at `epoch` with `rows` applied to this one. A row that is not newer than
    /// the one held is ignored.
    #[must_use]
    pub fn apply(&self, epoch: Epoch, rows: impl IntoIterator<Item = Row>) -> Self {
        let mut next = self.clone();
        next.epoch = epoch;
        for row in rows {
            next.apply_row(row);
        }
        next.drop_tombstones();
        next.index = Arc::new(Index::build(&next.records, &next.faults));
        next
    }

    fn apply_row(&mut self, row: Row) {
        if self
            .rows
            .get(&row.key)
            .is_some_and(|held| held.epoch >= row.epoch)
        {
            return;
        }
        let key = Arc::new(row.key.clone());
        if let Some(old) = self.rows.remove(&key) {
            self.changes.remove(&(old.epoch, key.clone()));
        }
        self.records.remove(&key);
        self.faults.remove(&key);
        match Record::from_row(&row) {
            Ok(Some(record)) => drop(self.records.insert(key.clone(), Arc::new(record))),
            Ok(None) => {}
            Err(fault) => drop(self.faults.insert(key.clone(), fault)),
        }
        let row = Arc::new(row);
        self.changes.insert((row.epoch, key.clone()), row.clone());
        self.rows.insert(key, row);
    }

    /// Drops the oldest withdrawn records beyond the limit. A page for an epoch before them then
    /// holds the whole configuration.
    fn drop_tombstones(&mut self) {
        let withdrawn = |r: &&Arc<Row>| r.body.is_none();
        let count = self.changes.values().filter(withdrawn).count();
        let excess = count.saturating_sub(Self::MAX_TOMBSTONES);
        let old: Vec<_> = self
            .changes
            .values()
            .filter(withdrawn)
            .take(excess)
            .cloned()
            .collect();
        for row in old {
            self.floor = self.floor.max(row.epoch);
            let key = Arc::new(row.key.clone());
            self.rows.remove(&key);
            self.changes.remove(&(row.epoch, key));
        }
    }

    /// Returns the epoch of the view.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns every row, including the withdrawn ones that are still kept.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.rows.values()
    }

    /// Returns the row of one record.
    pub fn row(&self, key: &RecordKey) -> Option<&Arc<Row>> {
        self.rows.get(key)
    }

    /// Returns the validated record under `key`, even if it is not in force.
    pub fn record(&self, key: &RecordKey) -> Option<&Arc<Record>> {
        self.records.get(key)
    }

    /// Returns at most `limit` of the rows changed after `since`, starting after the cursor
    /// `after`.
    ///
    /// If the view no longer knows every record withdrawn after `since`, the page builds on epoch
    /// zero.
    pub fn page(&self, since: Epoch, after: Option<&Cursor>, limit: usize) -> Page {
        let since = if since < self.floor { Epoch(0) } else { since };
        let after = after.cloned().unwrap_or_else(|| Cursor::after_epoch(since));
        let from = (after.epoch, Arc::new(first_key()));
        let mut rows = self
            .changes
            .range((Bound::Included(from), Bound::Unbounded))
            .map(|(_, row)| row)
            .filter(|row| after.is_before(row));
        let list: Vec<Row> = rows.by_ref().take(limit).map(|r| (**r).clone()).collect();
        let more = rows.next().is_some();
        Page {
            since,
            head: self.epoch,
            floor: self.floor,
            rows: list,
            more,
        }
    }

    /// Returns the regions in force.
    pub fn regions(&self) -> &BTreeMap<RegionId, Arc<Region>> {
        &self.index.regions
    }

    /// Returns the zones in force.
    pub fn zones(&self) -> &BTreeMap<ZoneId, Arc<Zone>> {
        &self.index.zones
    }

    /// Returns the entry hosts in force.
    pub fn hosts(&self) -> &BTreeMap<HostId, Arc<Host>> {
        &self.index.hosts
    }

    /// Returns the services in force.
    pub fn services(&self) -> &BTreeMap<ServiceId, Arc<Service>> {
        &self.index.services
    }

    /// Returns the endpoints in force.
    pub fn endpoints(&self) -> &BTreeMap<EndpointId, Arc<Endpoint>> {
        &self.index.endpoints
    }

    /// Returns the endpoints of one service, ordered by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> &[Arc<Endpoint>] {
        self.index
            .by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the teams in force.
    pub fn teams(&self) -> &BTreeMap<TeamId, Arc<Team>> {
        &self.index.teams
    }

    /// Returns the team that an API key belongs to; `None` if no team or more than one lists it.
    pub fn team_of(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.index.by_key.get(key)
    }

    /// Returns the planned moves in force.
    pub fn moves(&self) -> &BTreeMap<RecordId, Arc<Move>> {
        &self.index.moves
    }

    /// Returns the drains in force.
    pub fn drains(&self) -> &BTreeMap<RecordId, Arc<Drain>> {
        &self.index.drains
    }

    /// Returns the client sites in force.
    pub fn sites(&self) -> &BTreeMap<SiteId, Arc<Site>> {
        &self.index.sites
    }

    /// Returns the parts of the client blocks in force.
    pub fn blocks(&self) -> &BTreeMap<RecordId, Arc<Blocks>> {
        &self.index.blocks
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.index.zones.get(zone).map(|z| &z.region)
    }

    /// Returns the faults of records.
    ///
    /// A record with a fault is not in force, with two exceptions for teams: an entitlement to
    /// something that does not exist grants nothing, a key that another team lists too belongs to
    /// neither, and the rest of the team stays in force.
    pub fn issues(&self) -> &[ConfigError] {
        &self.index.issues
    }

    /// Returns the rows of unknown kinds and schema versions.
    pub fn unknown(&self) -> impl Iterator<Item = &Arc<Row>> {
        let is_unknown = |(_, r): &(_, &Arc<Record>)| matches!(***r, Record::Unknown(_));
        self.records
            .iter()
            .filter(is_unknown)
            .filter_map(|(key, _)| self.rows.get(key))
    }
}

/// Returns a key that sorts before every other, since `-` is the lowest allowed character.
fn first_key() -> RecordKey {
    RecordKey::new("-", "-").expect("allowed characters")
}
