//! The hosts of the platform's list.
//!
//! The list names hosts and endpoints alike. A name on it counts as a host if a configuration of this
//! process has had its record.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use wagtail_config::View;
use wagtail_member::HostInfo;
use wagtail_types::HostId;

/// The hosts on the platform's list, whether or not their records are still in force.
#[derive(Debug, Default)]
pub(crate) struct ListedHosts(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    listed: BTreeSet<HostId>,
    /// The hosts of the configuration in force, and earlier ones that are on the list.
    known: BTreeMap<HostId, ListedHost>,
}

/// A host as its last record describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ListedHost {
    /// Its name, zone and region.
    pub(crate) info: HostInfo,
    /// Its address for other hosts.
    pub(crate) peer: SocketAddr,
}

impl ListedHosts {
    /// Replaces the names on the list; returns whether they have changed.
    pub(crate) fn set_names(&self, names: BTreeSet<HostId>) -> bool {
        let mut inner = self.lock();
        let changed = inner.listed != names;
        inner.listed = names;
        changed
    }

    /// Records the hosts of a configuration, and forgets those that are in neither it nor the list.
    pub(crate) fn record(&self, view: &View) {
        let mut guard = self.lock();
        let Inner { listed, known } = &mut *guard;
        known.retain(|host, _| listed.contains(host));
        known.extend(view.hosts().values().filter_map(|host| {
            let region = view.region_of(&host.zone)?.clone();
            let listed = ListedHost {
                info: HostInfo::new(host.id.clone(), host.zone.clone(), region),
                peer: host.peer,
            };
            Some((host.id.clone(), listed))
        }));
    }

    /// Returns the hosts on the list.
    pub(crate) fn hosts(&self) -> Vec<ListedHost> {
        let inner = self.lock();
        let known = inner.known.iter();
        let listed = known.filter(|(host, _)| inner.listed.contains(*host));
        listed.map(|(_, host)| host.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
