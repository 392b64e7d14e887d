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

/// An immutable view of every record at one epoch. Clones share their contents.
///
/// Records that refer to others that are not in force are set aside and listed among the
/// [`issues`](View::issues). Records of unknown kinds or schema versions are kept.
#[derive(Debug, Clone, Default)]
pub struct View {
    epoch: Epoch,
    floor: Epoch,
    rows: BTreeMap<Arc<RecordKey>, Arc<Row>>,
    changes: BTreeMap<(Epoch, Arc<RecordKey>), Arc<Row>>,
    records: BTreeMap<Arc<RecordKey>, Arc<Record>>,
    faults: BTreeMap<Arc<RecordKey>, ConfigError>,
    index: Arc<Index>,
}

impl View {
    /// The most withdrawn records that a view remembers; older ones are forgotten.
    pub const TOMBSTONES: usize = 4_096;

    /// The view before any record, at epoch zero.
    pub fn empty() -> Self {
        Self::default()
    }

    /// A view of nothing but `rows`, from a source that does not remember what was withdrawn up to
    /// the epoch `floor`.
    pub fn whole(epoch: Epoch, floor: Epoch, rows: impl IntoIterator<Item = Row>) -> Self {
        let base = Self {
            floor,
            ..Self::default()
        };
        base.apply(epoch, rows)
    }

    /// The view at `epoch`, with `rows` put over this one. A row that is older than the one
    /// held is left out.
    #[must_use]
    pub fn apply(&self, epoch: Epoch, rows: impl IntoIterator<Item = Row>) -> Self {
        let mut next = self.clone();
        next.epoch = epoch;
        for row in rows {
            next.set(row);
        }
        next.forget();
        next.index = Arc::new(Index::build(&next.records, &next.faults));
        next
    }

    fn set(&mut self, row: Row) {
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
        match Record::of(&row) {
            Ok(Some(record)) => drop(self.records.insert(key.clone(), Arc::new(record))),
            Ok(None) => {}
            Err(fault) => drop(self.faults.insert(key.clone(), fault)),
        }
        let row = Arc::new(row);
        self.changes.insert((row.epoch, key.clone()), row.clone());
        self.rows.insert(key, row);
    }

    /// Forgets the oldest withdrawn records past the limit; deltas from before them are whole.
    fn forget(&mut self) {
        let withdrawn = |r: &&Arc<Row>| r.body.is_none();
        let count = self.changes.values().filter(withdrawn).count();
        let excess = count.saturating_sub(Self::TOMBSTONES);
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

    /// The epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Every row, the withdrawn ones that are remembered included.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.rows.values()
    }

    /// The row of one record.
    pub fn row(&self, key: &RecordKey) -> Option<&Arc<Row>> {
        self.rows.get(key)
    }

    /// The checked record under `key`, also where it is set aside.
    pub fn record(&self, key: &RecordKey) -> Option<&Arc<Record>> {
        self.records.get(key)
    }

    /// The rows changed after `since`, at most `limit` of them, starting past `after`.
    ///
    /// Where `since` is older than what the view remembers, the page builds on epoch zero.
    pub fn page(&self, since: Epoch, after: Option<&Cursor>, limit: usize) -> Page {
        let since = if since < self.floor { Epoch(0) } else { since };
        let after = after.cloned().unwrap_or_else(|| Cursor::after(since));
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

    /// The regions.
    pub fn regions(&self) -> &BTreeMap<RegionId, Arc<Region>> {
        &self.index.regions
    }

    /// The zones.
    pub fn zones(&self) -> &BTreeMap<ZoneId, Arc<Zone>> {
        &self.index.zones
    }

    /// The entry hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, Arc<Host>> {
        &self.index.hosts
    }

    /// The services.
    pub fn services(&self) -> &BTreeMap<ServiceId, Arc<Service>> {
        &self.index.services
    }

    /// The endpoints.
    pub fn endpoints(&self) -> &BTreeMap<EndpointId, Arc<Endpoint>> {
        &self.index.endpoints
    }

    /// The endpoints of one service, ordered by name.
    pub fn endpoints_of(&self, service: &ServiceId) -> &[Arc<Endpoint>] {
        self.index
            .by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// The teams.
    pub fn teams(&self) -> &BTreeMap<TeamId, Arc<Team>> {
        &self.index.teams
    }

    /// The team that a key belongs to.
    pub fn team_of(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.index.by_key.get(key)
    }

    /// The planned moves.
    pub fn moves(&self) -> &BTreeMap<RecordId, Arc<Move>> {
        &self.index.moves
    }

    /// The drains.
    pub fn drains(&self) -> &BTreeMap<RecordId, Arc<Drain>> {
        &self.index.drains
    }

    /// The sites.
    pub fn sites(&self) -> &BTreeMap<SiteId, Arc<Site>> {
        &self.index.sites
    }

    /// The parts of the client blocks.
    pub fn blocks(&self) -> &BTreeMap<RecordId, Arc<Blocks>> {
        &self.index.blocks
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.index.zones.get(zone).map(|z| &z.region)
    }

    /// What is wrong with records: those with a fault are not in force, except that a team's
    /// entitlement to what does not exist grants nothing and leaves the rest of the team in force.
    pub fn issues(&self) -> &[ConfigError] {
        &self.index.issues
    }

    /// The rows of unknown kinds and schema versions.
    pub fn unknown(&self) -> impl Iterator<Item = &Arc<Row>> {
        let is_unknown = |(_, r): &(_, &Arc<Record>)| matches!(***r, Record::Unknown(_));
        self.records
            .iter()
            .filter(is_unknown)
            .filter_map(|(key, _)| self.rows.get(key))
    }
}

/// A key that sorts before every other.
fn first_key() -> RecordKey {
    RecordKey::new("-", "-").expect("allowed characters")
}
