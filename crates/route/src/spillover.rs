//! Spillover: the choice of a peer to relay to when this host has no free slot.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use slotmap::SlotMap;
use wagtail_types::{HostId, RegionId, ServiceId, ZoneId};

use crate::key::PermitKey;
use crate::message::{Advert, RelayPermit};
use crate::settings::SpilloverSettings;
use crate::topology::{Delay, HostState, HostView};

/// Greatest number of slots that one advert counts for, so that sums over a fleet stay within
/// `u32`.
const MAX_OFFER: u32 = 65_535;

/// Holds the peers and the free slots that they advertise, nearest first.
#[derive(Debug)]
pub(crate) struct Spillover {
    settings: SpilloverSettings,
    zone: ZoneId,
    region: RegionId,
    zone_regions: HashMap<ZoneId, RegionId>,
    delays: HashMap<RegionId, Duration>,
    region_list: Vec<RegionId>,
    peers: Vec<Peer>,
    relays: SlotMap<PermitKey, ActiveRelay>,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) region: usize,
    drained: bool,
    delay: Duration,
    free: Vec<(ServiceId, u32)>,
    advert_at: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct ActiveRelay {
    host: HostId,
    service: ServiceId,
    /// The time of the advert whose slot it uses.
    advert: Option<Instant>,
}

/// Restricts the peers that one request may be relayed to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerFilter<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) tried: &'a [ZoneId],
    /// Whether each region is allowed, in the order of [`Spillover::regions`].
    pub(crate) regions: &'a [bool],
    /// The longest one-way delay.
    pub(crate) max_delay: Duration,
    /// Whether the local zone is excluded.
    pub(crate) leave_zone: bool,
    /// Whether peers count that hold slots of which none is free now.
    pub(crate) allow_queueing: bool,
    /// Whether expired adverts count as well, as those of peers without a free slot.
    pub(crate) allow_expired: bool,
}

impl Spillover {
    pub(crate) fn new(settings: SpilloverSettings, zone: ZoneId, region: RegionId) -> Self {
        Self {
            settings,
            zone,
            region,
            zone_regions: HashMap::new(),
            delays: HashMap::new(),
            region_list: Vec::new(),
            peers: Vec::new(),
            relays: SlotMap::with_key(),
        }
    }

    /// Returns every region, sorted.
    pub(crate) fn regions(&self) -> &[RegionId] {
        &self.region_list
    }

    /// Returns the nearest of the `offered` regions that are allowed, or the local region if there
    /// is none.
    pub(crate) fn home_region<'a>(
        &'a self,
        offered: &'a [RegionId],
        allowed: Option<&[RegionId]>,
    ) -> &'a RegionId {
        let own = &self.region;
        let far = self.settings.region_delay;
        let delay = |region: &&RegionId| {
            let delay = self.delays.get(*region).copied().unwrap_or(far);
            if *region == own {
                Duration::ZERO
            } else {
                delay
            }
        };
        let is_allowed = |region: &&RegionId| allowed.is_none_or(|list| list.contains(region));
        let nearest = offered.iter().filter(is_allowed).min_by_key(delay);
        nearest.unwrap_or(own)
    }

    /// Returns the region of a configured zone.
    pub(crate) fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.zone_regions.get(zone)
    }

    pub(crate) fn set_zones(&mut self, zones: &[(ZoneId, RegionId)], delays: &[Delay]) {
        self.zone_regions = zones.iter().cloned().collect();
        self.region_list = zones.iter().map(|(_, region)| region.clone()).collect();
        self.region_list.sort();
        self.region_list.dedup();
        self.delays.clear();
        for delay in delays {
            if delay.from == self.region {
                self.delays.insert(delay.to.clone(), delay.time);
            } else if delay.to == self.region {
                self.delays.insert(delay.from.clone(), delay.time);
            }
        }
    }

    /// Replaces the peers; the adverts of those that stay are kept.
    pub(crate) fn set_hosts(
        &mut self,
        local: &HostId,
        hosts: &[HostView],
        drained: impl Fn(&ZoneId, &RegionId) -> bool,
    ) {
        let mut known: HashMap<_, _> = self
            .peers
            .drain(..)
            .map(|peer| (peer.host, (peer.free, peer.advert_at)))
            .collect();
        let own = self
            .region_list
            .binary_search(&self.region)
            .unwrap_or(usize::MAX);
        let others = |h: &&HostView| h.state == HostState::Serving && h.id != *local;
        for host in hosts.iter().filter(others) {
            let Some(region) = self.zone_regions.get(&host.zone) else {
                continue;
            };
            let Ok(index) = self.region_list.binary_search(region) else {
                continue;
            };
            let (free, advert_at) = known.remove(&host.id).unwrap_or_default();
            self.peers.push(Peer {
                host: host.id.clone(),
                delay: self.delay(&host.zone, region),
                drained: drained(&host.zone, region),
                zone: host.zone.clone(),
                region: index,
                free,
                advert_at,
            });
        }
        self.peers.sort_by(|a, b| {
            let key = |peer: &Peer| (peer.delay, peer.zone != self.zone, peer.region != own);
            key(a).cmp(&key(b)).then_with(|| a.host.cmp(&b.host))
        });
    }

    fn delay(&self, zone: &ZoneId, region: &RegionId) -> Duration {
        if *zone == self.zone {
            Duration::ZERO
        } else if *region == self.region {
            let near = self.settings.zone_delay;
            self.delays.get(region).copied().unwrap_or(near)
        } else {
            let far = self.settings.region_delay;
            self.delays.get(region).copied().unwrap_or(far)
        }
    }

    /// Records an advert unless it is older than the last one of its host.
    pub(crate) fn record_advert(&mut self, now: Instant, advert: Advert) {
        let Some(at) = now.checked_sub(advert.age) else {
            return;
        };
        let peer = self.peers.iter_mut().find(|peer| peer.host == advert.host);
        if let Some(peer) = peer
            && peer.advert_at.is_none_or(|known| known <= at)
        {
            peer.advert_at = Some(at);
            peer.free = advert.free;
            for (_, free) in &mut peer.free {
                *free = (*free).min(MAX_OFFER);
            }
        }
    }

    /// Chooses a peer for one request among the nearest that offer slots, at random in proportion
    /// to their free slots.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        filter: &PeerFilter<'_>,
        rng: &mut SmallRng,
    ) -> Option<(RelayPermit, RegionId)> {
        let mut from = 0;
        while let Some(first) = self.peers.get(from)
            && first.delay <= filter.max_delay
        {
            let same = |peer: &&Peer| peer.delay == first.delay;
            let to = from + self.peers[from..].iter().take_while(same).count();
            if let Some(at) = self.pick_weighted(now, filter, rng, from..to) {
                return Some(self.start_relay(at, filter.service));
            }
            from = to;
        }
        None
    }

    /// Returns the peers to send an advert to: half of them in the local zone, a quarter in the
    /// rest of the local region and a quarter in other regions, as far as there are that many.
    pub(crate) fn advert_targets(&self, count: usize, rng: &mut SmallRng) -> Vec<HostId> {
        let own = |peer: &Peer| self.region_list[peer.region] == self.region;
        let zone = self
            .peers
            .iter()
            .take_while(|p| p.zone == self.zone)
            .count();
        let region = zone + self.peers[zone..].iter().take_while(|p| own(p)).count();
        let (near, rest) = (&self.peers[..region], &self.peers[region..]);
        let far = rest
            .len()
            .min((count / 4).max(count.saturating_sub(near.len())));
        let left = count - far;
        let home = zone.min((left - left / 3).max(left.saturating_sub(region - zone)));
        let parts = [
            (&near[..zone], home),
            (&near[zone..], left - home),
            (rest, far),
        ];
        parts
            .into_iter()
            .flat_map(|(peers, count)| peers.choose_multiple(rng, count))
            .map(|peer| peer.host.clone())
            .collect()
    }

    /// Returns whether any peer offers a slot.
    pub(crate) fn has_offer(&self, now: Instant, filter: &PeerFilter<'_>) -> bool {
        self.peers.iter().any(|p| self.offer(now, filter, p) > 0)
    }

    fn pick_weighted(
        &self,
        now: Instant,
        filter: &PeerFilter<'_>,
        rng: &mut SmallRng,
        tier: std::ops::Range<usize>,
    ) -> Option<usize> {
        let offer = |at: &usize| self.offer(now, filter, &self.peers[*at]);
        let total: u32 = tier.clone().map(|at| offer(&at)).sum();
        if total == 0 {
            return None;
        }
        let mut left = rng.random_range(0..total);
        tier.into_iter().find(|at| {
            let free = offer(at);
            let found = left < free;
            left = left.saturating_sub(free);
            found
        })
    }

    fn offer(&self, now: Instant, filter: &PeerFilter<'_>, peer: &Peer) -> u32 {
        let excluded = peer.drained
            || filter.tried.contains(&peer.zone)
            || (filter.leave_zone && peer.zone == self.zone)
            || !filter.regions[peer.region];
        if excluded {
            return 0;
        }
        match self.fresh_offer(now, filter.service, peer) {
            Some(free) => free.max(u32::from(filter.allow_queueing)),
            None => u32::from(filter.allow_expired && peer.offer(filter.service).is_some()),
        }
    }

    /// Returns the free slots that a peer advertises; `None` if it holds none at all or its advert
    /// has expired.
    fn fresh_offer(&self, now: Instant, service: &ServiceId, peer: &Peer) -> Option<u32> {
        let fresh = |at| now.saturating_duration_since(at) < self.settings.advert_ttl;
        peer.advert_at.filter(|at| fresh(*at))?;
        peer.offer(service)
    }

    fn start_relay(&mut self, at: usize, service: &ServiceId) -> (RelayPermit, RegionId) {
        let peer = &mut self.peers[at];
        peer.take_slot(service);
        let region = self.region_list[peer.region].clone();
        let relay = ActiveRelay {
            host: peer.host.clone(),
            service: service.clone(),
            advert: peer.advert_at,
        };
        let permit = RelayPermit {
            zone: peer.zone.clone(),
            host: peer.host.clone(),
            cross_region: region != self.region,
            key: self.relays.insert(relay),
        };
        (permit, region)
    }

    /// Ends a relay. Its slot counts as free again, unless a later advert has counted it. A peer
    /// that refused offers no slot until its next advert.
    pub(crate) fn finish(&mut self, permit: &RelayPermit, refused: bool) {
        let Some(relay) = self.relays.remove(permit.key) else {
            return;
        };
        let Some(peer) = self.peers.iter_mut().find(|p| p.host == relay.host) else {
            return;
        };
        if refused {
            peer.free.retain(|(service, _)| *service != relay.service);
        } else if peer.advert_at == relay.advert {
            peer.return_slot(&relay.service);
        }
    }

    /// Returns the free slots that peers advertise, in this region and in others.
    pub(crate) fn free_slots(&self, now: Instant, service: &ServiceId) -> (u32, u32) {
        let (mut near, mut far) = (0, 0);
        for peer in &self.peers {
            let free = self.fresh_offer(now, service, peer).unwrap_or(0);
            if self.region_list[peer.region] == self.region {
                near += free;
            } else {
                far += free;
            }
        }
        (near, far)
    }
}

impl Peer {
    fn offer(&self, service: &ServiceId) -> Option<u32> {
        let entry = self.free.iter().find(|(id, _)| id == service);
        entry.map(|(_, free)| *free)
    }

    fn return_slot(&mut self, service: &ServiceId) {
        if let Some((_, free)) = self.free.iter_mut().find(|(id, _)| id == service) {
            *free += 1;
        }
    }

    fn take_slot(&mut self, service: &ServiceId) {
        if let Some((_, free)) = self.free.iter_mut().find(|(id, _)| id == service) {
            *free = free.saturating_sub(1);
        }
    }
}
