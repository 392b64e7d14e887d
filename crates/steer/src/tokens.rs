//! Where a token of a team's limit comes from, and what keepers tell each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ZoneId};

use crate::config::Team;
use crate::digest::HostState;
use crate::hash::{from_tenths, name_hash, score, short_hash, tenths};
use crate::hosts::Peer;
use crate::quota::{QuotaLimits, Taken};
use crate::steer::Steer;

/// The way to a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Token {
    /// This host decided.
    Here(Taken),
    /// The team's keeper is asked.
    Ask {
        /// The keeper's address.
        keeper: SocketAddr,
        /// The hash of the team's name.
        team: u32,
    },
}

impl Steer {
    fn limits(&self, team: &Team) -> Option<QuotaLimits> {
        const MICROS: f64 = 1e6;
        let rate = team.rate?.micros() as f64 / MICROS;
        Some(QuotaLimits::new(
            rate,
            f64::from(team.burst),
            &self.settings,
        ))
    }

    /// The keeper of a team among the hosts of a region that are heard; `None` is this host.
    fn keeper(&self, team: u32, region: &RegionId, now: Instant) -> Option<&Peer> {
        let item = u64::from(team);
        let near = *region == self.us.region;
        let own = if near {
            score(item, name_hash(self.us.record.id.as_str()))
        } else {
            -1.0
        };
        self.hosts
            .alive(now)
            .filter(|p| p.region == *region && p.state != Some(HostState::Leaving))
            .map(|p| (score(item, name_hash(p.record.id.as_str())), p))
            .filter(|(s, _)| *s > own)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, p)| p)
    }

    /// The other regions that have hosts, heard or not.
    fn other_regions(&self) -> Vec<RegionId> {
        let mut regions: Vec<RegionId> = self
            .hosts
            .all()
            .map(|p| &p.region)
            .filter(|r| **r != self.us.region)
            .cloned()
            .collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Takes a token of a team's limit, or says whom to ask for it.
    pub fn token(&mut self, team: &Team, now: Instant) -> Token {
        let Some(limits) = self.limits(team) else {
            return Token::Here(Taken::Yes);
        };
        let hash = short_hash(team.id.as_str());
        if self.hosts.is_cut_off(&self.settings, now) {
            return Token::Here(self.token_alone(team, now));
        }
        if let Some(keeper) = self.keeper(hash, &self.us.region, now) {
            return Token::Ask {
                keeper: keeper.record.peer,
                team: hash,
            };
        }
        let others = self.quota.others(hash, &self.other_regions(), now);
        Token::Here(self.quota.take(&team.id, limits, others, now))
    }

    /// Takes a token without the team's keeper, as far as that is safe.
    pub fn token_alone(&mut self, team: &Team, now: Instant) -> Taken {
        let Some(limits) = self.limits(team) else {
            return Taken::Yes;
        };
        let hosts = self.hosts.all().count() + 1;
        self.quota.take_alone(&team.id, limits, hosts, now)
    }

    /// Takes a token for another host; `None` if the team is not known here.
    pub fn token_for(&mut self, team: u32, now: Instant) -> Option<Taken> {
        let known = self.catalog.as_ref()?.team(team)?.clone();
        let Some(limits) = self.limits(&known) else {
            return Some(Taken::Yes);
        };
        let others = self.quota.others(team, &self.other_regions(), now);
        Some(self.quota.take(&known.id, limits, others, now))
    }

    /// Gives back a token that this host keeps, for a request that no endpoint ran.
    pub fn return_token(&mut self, team: u32) {
        if let Some(team) = self.catalog.as_ref().and_then(|c| c.team(team)) {
            self.quota.give_back(&team.id);
        }
    }

    /// Where a token of a team goes back to, if not to this host.
    pub fn keeper_addr(&self, team: &Team, now: Instant) -> Option<SocketAddr> {
        let hash = short_hash(team.id.as_str());
        self.keeper(hash, &self.us.region, now)
            .map(|p| p.record.peer)
    }

    /// What this host tells the keepers in other regions of the teams that it keeps.
    pub fn demands(&mut self, now: Instant) -> HashMap<SocketAddr, Vec<(u32, u16)>> {
        let Some(catalog) = self.catalog.clone() else {
            return HashMap::new();
        };
        let regions = self.other_regions();
        let mut messages: HashMap<SocketAddr, Vec<(u32, u16)>> = HashMap::new();
        for team in catalog.teams().filter(|t| t.rate.is_some()) {
            let hash = short_hash(team.id.as_str());
            if self.keeper(hash, &self.us.region, now).is_some() {
                continue;
            }
            let demand = self.quota.tell(&team.id, now);
            for region in &regions {
                if let Some(keeper) = self.keeper(hash, region, now) {
                    messages
                        .entry(keeper.record.peer)
                        .or_default()
                        .push((hash, tenths(demand)));
                }
            }
        }
        messages
    }

    /// Takes what a keeper in another region is asked for.
    pub fn hear_demand(&mut self, zone: &ZoneId, teams: &[(u32, u16)], now: Instant) {
        let Some(region) = self.us.zones.get(zone).cloned() else {
            return;
        };
        for &(team, tenths) in teams {
            self.quota.hear(team, &region, from_tenths(tenths), now);
        }
    }

    /// The wait that a keeper's refusal tells.
    pub fn refused_for(wait_ms: u32) -> Taken {
        Taken::No(Duration::from_millis(u64::from(wait_ms)))
    }
}
