//! The hosts of the fleet, ordered by region, zone and name.

use std::collections::HashMap;
use std::time::Instant;

use wagtail_types::{HostId, RegionId, ZoneId};
use xxhash_rust::xxh3::Xxh3;

use crate::{HostInfo, HostView, State};

/// The ordered list of hosts with their known states.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    views: Vec<HostView>,
    index: HashMap<HostId, usize>,
    zones: Vec<ZoneId>,
}

impl Roster {
    /// Replaces the list of hosts and returns the views of those that are no longer in it.
    ///
    /// Hosts that stay keep their state.
    pub(crate) fn replace(&mut self, infos: Vec<HostInfo>, now: Instant) -> Vec<HostView> {
        let mut old: HashMap<HostId, HostView> = self
            .views
            .drain(..)
            .map(|view| (view.info.host.clone(), view))
            .collect();
        for info in infos {
            let view = match old.remove(&info.host) {
                Some(view) => HostView { info, ..view },
                None => HostView::new(info, now),
            };
            self.views.push(view);
        }
        self.views.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        self.views.dedup_by(|a, b| a.info.host == b.info.host);
        self.reindex();
        let mut removed: Vec<HostView> = old.into_values().collect();
        removed.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        removed
    }

    fn reindex(&mut self) {
        let hosts = self.views.iter().enumerate();
        self.index = hosts.map(|(i, v)| (v.info.host.clone(), i)).collect();
        self.zones = self.views.iter().map(|v| v.info.zone.clone()).collect();
        self.zones.sort();
        self.zones.dedup();
    }

    pub(crate) fn len(&self) -> usize {
        self.views.len()
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&HostView> {
        self.index.get(host).map(|&i| &self.views[i])
    }

    pub(crate) fn get_mut(&mut self, host: &HostId) -> Option<&mut HostView> {
        self.index.get(host).map(|&i| &mut self.views[i])
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &HostView> {
        self.views.iter()
    }

    pub(crate) fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    pub(crate) fn in_zone<'a>(&'a self, zone: &'a ZoneId) -> impl Iterator<Item = &'a HostView> {
        self.views.iter().filter(move |v| v.info.zone == *zone)
    }

    pub(crate) fn in_region<'a>(
        &'a self,
        region: &'a RegionId,
    ) -> impl Iterator<Item = &'a HostView> {
        self.views.iter().filter(move |v| v.info.region == *region)
    }

    /// Returns the hosts after `host`, or all if `host` is `None` or not listed.
    pub(crate) fn after(&self, host: Option<&HostId>) -> &[HostView] {
        let start = host
            .and_then(|host| self.index.get(host))
            .map_or(0, |i| i + 1);
        &self.views[start..]
    }

    /// Returns the next host that is not dead, wrapping around at the end of the list.
    pub(crate) fn successor(&self, host: &HostId) -> Option<&HostView> {
        let start = *self.index.get(host)?;
        let (before, after) = self.views.split_at(start);
        let mut ring = after.iter().skip(1).chain(before);
        ring.find(|view| view.state != State::Dead)
    }

    /// Returns a digest of the ordered names of a zone's hosts.
    pub(crate) fn digest(&self, zone: &ZoneId) -> u64 {
        let mut hash = Xxh3::new();
        for view in self.in_zone(zone) {
            hash.update(view.info.host.as_str().as_bytes());
            hash.update(b"/");
        }
        hash.digest()
    }
}

fn sort_key(view: &HostView) -> (&RegionId, &ZoneId, &HostId) {
    (&view.info.region, &view.info.zone, &view.info.host)
}
