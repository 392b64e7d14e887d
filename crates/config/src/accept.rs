//! Decides when a committed change counts as accepted.

use std::collections::{BTreeMap, BTreeSet};

use wagtail_types::{Epoch, HostId, ZoneId};

use crate::{MemberState, MemberStatus};

/// Tells which epoch a host has adopted, as far as is known.
pub type Confirmation = MemberStatus;

/// Tells how far a committed change has spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// It is in force on every host that can still act on older records.
    Accepted,
    /// It is committed, and some hosts have not confirmed it.
    Committed {
        /// The hosts that may still act on older records.
        missing: BTreeSet<HostId>,
        /// The zones that have confirmed it.
        confirmed: BTreeSet<ZoneId>,
    },
}

/// Returns whether the change committed at `epoch` is accepted.
///
/// A zone has confirmed the change once one of its hosts that has not lapsed has adopted `epoch`
/// and every other host of the zone has adopted it or lapsed. The change is accepted once a
/// majority of `zones` has confirmed it and every host of the remaining zones has adopted it or
/// lapsed.
///
/// # Example
///
/// ```
/// use std::collections::BTreeSet;
/// use wagtail_config::{Acceptance, Confirmation, MemberState, acceptance};
/// use wagtail_types::Epoch;
///
/// let host = Confirmation {
///     host: "entry-1".parse()?,
///     zone: "cymru-a".parse()?,
///     state: MemberState::Live,
///     epoch: Epoch(7),
/// };
/// let zones = BTreeSet::from([host.zone.clone()]);
/// assert_eq!(acceptance(Epoch(7), &zones, &[host]), Acceptance::Accepted);
/// # Ok::<(), wagtail_types::ParseError>(())
/// ```
pub fn acceptance(epoch: Epoch, zones: &BTreeSet<ZoneId>, hosts: &[Confirmation]) -> Acceptance {
    let mut by_zone: BTreeMap<&ZoneId, Vec<&Confirmation>> = BTreeMap::new();
    for host in hosts {
        by_zone.entry(&host.zone).or_default().push(host);
    }
    let missing: BTreeSet<HostId> = hosts
        .iter()
        .filter(|h| h.state != MemberState::Lapsed && h.epoch < epoch)
        .map(|h| h.host.clone())
        .collect();
    let has_confirmed = |zone: &&ZoneId| {
        let hosts = by_zone.get(zone).map_or(&[][..], Vec::as_slice);
        let adopted = |h: &&Confirmation| h.state != MemberState::Lapsed && h.epoch >= epoch;
        hosts.iter().any(adopted) && !hosts.iter().any(|h| missing.contains(&h.host))
    };
    let confirmed: BTreeSet<ZoneId> = zones.iter().filter(has_confirmed).cloned().collect();
    if missing.is_empty() && confirmed.len() * 2 > zones.len() {
        return Acceptance::Accepted;
    }
    Acceptance::Committed { missing, confirmed }
}
