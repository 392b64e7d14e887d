//! Look-up answers: the entry hosts that a caller should use, best first.

use std::collections::HashMap;
use std::net::IpAddr;

use wagtail_types::{HostId, Share, TeamId, ZoneId};

use crate::blocks::SiteKey;
use crate::rendezvous::{name_hash, score, weighted};
use crate::topology::HostState;

/// Buckets that callers are hashed into; callers of one bucket get the same answer.
const CALLER_BUCKETS: usize = 256;
/// Hosts of one zone in an answer.
const HOSTS_PER_ZONE: usize = 4;
/// Steps that free capacity is rounded down to.
const CAPACITY_LEVELS: u32 = 4;
/// Zones, nearest first, within which a holder of the team's quota shards goes first.
const AFFINITY_ZONES: usize = 2;

/// An entry host as an input to look-up answers.
#[derive(Debug, Clone)]
pub struct HostRow {
    /// The name returned to callers, who are assigned to hosts by its hash.
    pub id: HostId,
    /// The zone in which it runs; callers of a site get hosts of the site's zones.
    pub zone: ZoneId,
    /// Its membership state; only serving hosts are returned.
    pub state: HostState,
    /// The free share of its capacity.
    pub free: Share,
    /// Teams of which it holds quota shards.
    pub teams: Vec<TeamId>,
}

/// A site with its zones, nearest first.
#[derive(Debug, Clone)]
pub struct SiteRow {
    /// The zones that serve the site, nearest first.
    pub zones: Vec<ZoneId>,
}

/// An immutable table of look-up answers, rebuilt when hosts or sites change.
///
/// Callers are assigned by rendezvous hashing on their address block, so that answers are
/// stable while the hosts are, and only the callers of a leaving host move. Building takes time
/// linear in the number of hosts; the cost of an answer does not depend on it.
///
/// ```
/// use wagtail_route::{Directory, HostRow, HostState, SiteKey, SiteRow};
/// use wagtail_types::Share;
///
/// let row = |id: &str, state| HostRow {
///     id: id.parse().unwrap(),
///     zone: "gulf-a".parse().unwrap(),
///     state,
///     free: Share::ALL,
///     teams: Vec::new(),
/// };
/// let hosts = [row("one", HostState::Serving), row("two", HostState::Leaving)];
/// let site = SiteRow { zones: vec!["gulf-a".parse().unwrap()] };
/// let directory = Directory::new(&hosts, &[site]);
///
/// let caller = "192.0.2.7".parse().unwrap();
/// let answer: Vec<_> = directory.answer(Some(SiteKey(0)), caller, None).collect();
/// assert_eq!(answer, [&hosts[0].id]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Directory {
    hosts: Vec<ServingHost>,
    zones: Vec<ZoneTable>,
    sites: Vec<Vec<ZoneIndex>>,
    all_zones: Vec<ZoneIndex>,
    holders: HashMap<TeamId, Vec<HostIndex>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ZoneIndex(u16);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HostIndex(u16);

/// A host that answers may contain; `hash` is that of its name and ranks quota-shard holders.
#[derive(Debug, Clone)]
struct ServingHost {
    id: HostId,
    zone: ZoneIndex,
    hash: u64,
}

/// The best hosts of one zone for one bucket, best first.
type Ranking = [Option<HostIndex>; HOSTS_PER_ZONE];

#[derive(Debug, Clone)]
struct ZoneTable {
    buckets: Box<[Ranking]>,
}

struct Candidate {
    index: HostIndex,
    hash: u64,
    weight: f64,
}

impl Directory {
    /// Builds the table. Sites are numbered as in [`PrefixTable`](crate::PrefixTable).
    pub fn new(hosts: &[HostRow], sites: &[SiteRow]) -> Self {
        let mut directory = Self::default();
        let mut index = HashMap::new();
        let mut candidates: Vec<Vec<Candidate>> = Vec::new();
        for host in hosts.iter().filter(|h| h.state == HostState::Serving) {
            let zone = *index.entry(&host.zone).or_insert_with(|| {
                candidates.push(Vec::new());
                ZoneIndex(to_u16(candidates.len() - 1))
            });
            let candidate = directory.add_host(host, zone);
            candidates[usize::from(zone.0)].push(candidate);
        }
        directory.zones = candidates.iter().map(|c| ZoneTable::new(c)).collect();
        directory.all_zones = (0..candidates.len())
            .map(|z| ZoneIndex(to_u16(z)))
            .collect();
        let zones = |site: &SiteRow| {
            site.zones
                .iter()
                .filter_map(|z| index.get(z))
                .copied()
                .collect()
        };
        directory.sites = sites.iter().map(zones).collect();
        directory
    }

    /// Returns the hosts that a caller should use, best first.
    ///
    /// A caller without a known site, or whose site has no zone with a serving host, gets hosts
    /// of every zone.
    pub fn answer(
        &self,
        site: Option<SiteKey>,
        caller: IpAddr,
        team: Option<&TeamId>,
    ) -> impl Iterator<Item = &HostId> {
        let bucket = caller_bucket(caller);
        let zones = site
            .and_then(|site| self.sites.get(usize::from(site.0)))
            .filter(|zones| !zones.is_empty())
            .unwrap_or(&self.all_zones);
        let first = team.and_then(|team| self.preferred_holder(team, zones, bucket));
        let ranking = move |zone: &ZoneIndex| self.zones[usize::from(zone.0)].buckets[bucket];
        let rest = zones.iter().flat_map(ranking).flatten();
        let rest = rest.filter(move |host| first != Some(*host));
        let order = first.into_iter().chain(rest);
        order.map(|host| &self.host(host).id)
    }

    fn add_host(&mut self, host: &HostRow, zone: ZoneIndex) -> Candidate {
        let index = HostIndex(to_u16(self.hosts.len()));
        let hash = name_hash(host.id.as_str());
        self.hosts.push(ServingHost {
            id: host.id.clone(),
            zone,
            hash,
        });
        for team in &host.teams {
            self.holders.entry(team.clone()).or_default().push(index);
        }
        Candidate {
            index,
            hash,
            weight: capacity_weight(host.free),
        }
    }

    fn preferred_holder(
        &self,
        team: &TeamId,
        zones: &[ZoneIndex],
        bucket: usize,
    ) -> Option<HostIndex> {
        let holders = self.holders.get(team)?;
        zones.iter().take(AFFINITY_ZONES).find_map(|zone| {
            let near = holders.iter().filter(|h| self.host(**h).zone == *zone);
            near.copied()
                .max_by_key(|h| score(bucket as u64, self.host(*h).hash))
        })
    }

    fn host(&self, index: HostIndex) -> &ServingHost {
        &self.hosts[usize::from(index.0)]
    }
}

impl ZoneTable {
    fn new(hosts: &[Candidate]) -> Self {
        Self {
            buckets: (0..CALLER_BUCKETS as u64)
                .map(|b| rank_hosts(b, hosts))
                .collect(),
        }
    }
}

fn rank_hosts(bucket: u64, hosts: &[Candidate]) -> Ranking {
    let mut best: [(f64, Option<HostIndex>); HOSTS_PER_ZONE] =
        [(f64::NEG_INFINITY, None); HOSTS_PER_ZONE];
    for host in hosts {
        let rank = weighted(bucket, host.hash, host.weight);
        if let Some(at) = best.iter().position(|(other, _)| rank > *other) {
            best[at..].rotate_right(1);
            best[at] = (rank, Some(host.index));
        }
    }
    best.map(|(_, host)| host)
}

/// Rounds free capacity to coarse levels, so that small changes move no caller.
fn capacity_weight(free: Share) -> f64 {
    f64::from(1 + free.ppm() * CAPACITY_LEVELS / Share::ALL.ppm())
}

fn caller_bucket(caller: IpAddr) -> usize {
    const V4_BLOCK_BITS: u32 = 24;
    const V6_BLOCK_BITS: u32 = 48;
    let block = match caller.to_canonical() {
        IpAddr::V4(addr) => u64::from(addr.to_bits() >> (32 - V4_BLOCK_BITS)),
        IpAddr::V6(addr) => (addr.to_bits() >> (128 - V6_BLOCK_BITS)) as u64 | 1 << 63,
    };
    let hash = score(block, 0);
    (hash >> 32) as usize % CALLER_BUCKETS
}

fn to_u16(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}
