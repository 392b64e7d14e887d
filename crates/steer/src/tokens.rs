//! Where a token of a team's limit comes from, and the messages between quota owners.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_types::{RegionId, ZoneId};

use crate::config::Team;
use crate::hash::{from_tenths, name_hash, rendezvous_score, short_hash, tenths};
use crate::peers::{HostRecord, Peer};
use crate::quota::{QuotaLimits, TokenOutcome};
use crate::steer::Steer;

/// The source of a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenSource {
    /// The local host decided; no message is needed.
    Local(TokenOutcome),
    /// The token must be requested from the team's quota owner in the region.
    Remote {
        /// The peer address of the owner.
        owner: SocketAddr,
        /// The hash of the team's name.
        team: u32,
    },
}

/// How well a host is suited to own a team. Fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct OwnerRank {
    stays: bool,
    /// When it said that it leaves; the same for all hosts that stay.
    left_at: Instant,
    /// The rendezvous score.
    score: f64,
}

impl Steer {
    fn quota_limits(&self, team: &Team) -> Option<QuotaLimits> {
        const MICROS: f64 = 1e6;
        let rate = team.rate?.micros() as f64 / MICROS;
        Some(QuotaLimits::new(
            rate,
            f64::from(team.burst),
            &self.settings,
        ))
    }

    /// Returns the quota owner of a team in a region: the live host with the highest rendezvous
    /// score. If all of them leave, the one that was the last to say so, which stays longest. `None` if that
    /// is the local host, or if no host of the region is alive.
    fn owner(&self, team: u32, region: &RegionId, now: Instant) -> Option<&Peer> {
        let item = u64::from(team);
        let rank = |record: &HostRecord, leaving_since: Option<Instant>| OwnerRank {
            stays: leaving_since.is_none(),
            left_at: leaving_since.unwrap_or(now),
            score: rendezvous_score(item, name_hash(record.id.as_str())),
        };
        let is_local = *region == self.local.region;
        let local = is_local.then(|| rank(&self.local.record, self.leaving_since));
        self.peers
            .alive(now)
            .filter(|p| p.region == *region)
            .map(|p| (rank(&p.record, p.leaving_since), p))
            .filter(|(rank, _)| local.is_none_or(|local| *rank > local))
            .max_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal))
            .map(|(_, p)| p)
    }

    /// Returns the part of a team's limit that the hosts which hear each other grant.
    fn heard_limits(&self, team: &Team, now: Instant) -> Option<QuotaLimits> {
        let limits = self.quota_limits(team)?;
        Some(limits.part(self.peers.heard_fraction(now)))
    }

    /// Returns the other regions that have live hosts.
    fn remote_regions(&self, now: Instant) -> Vec<RegionId> {
        let mut regions: Vec<RegionId> = self
            .peers
            .alive(now)
            .map(|p| &p.region)
            .filter(|r| **r != self.local.region)
            .cloned()
            .collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Takes a token of a team's limit, or returns the owner to request it from.
    pub fn take_token(&mut self, team: &Team, now: Instant) -> TokenSource {
        let Some(limits) = self.heard_limits(team, now) else {
            return TokenSource::Local(TokenOutcome::Granted);
        };
        let hash = short_hash(team.id.as_str());
        let is_alone = self.peers.alive(now).next().is_none();
        if self.peers.is_cut_off(&self.settings, now) && !is_alone {
            return TokenSource::Local(self.take_isolated_token(team, now));
        }
        if let Some(owner) = self.token_owner(team, now) {
            self.quota.release(&team.id, now);
            return TokenSource::Remote { owner, team: hash };
        }
        TokenSource::Local(self.take_owned(team, limits, now))
    }

    /// Takes a token of a team that the local host owns in its region.
    fn take_owned(&mut self, team: &Team, limits: QuotaLimits, now: Instant) -> TokenOutcome {
        let hash = short_hash(team.id.as_str());
        let remote = self
            .quota
            .remote_demand(hash, &self.remote_regions(now), now);
        self.quota.take(&team.id, limits, remote, now)
    }

    /// Takes a token without the team's owner, at the reduced rate that is safe if all hosts do so.
    pub fn take_isolated_token(&mut self, team: &Team, now: Instant) -> TokenOutcome {
        let Some(limits) = self.quota_limits(team) else {
            return TokenOutcome::Granted;
        };
        let hosts = self.sharing_hosts();
        self.quota.take_isolated(&team.id, limits, hosts, now)
    }

    /// Takes a token on behalf of another host. Returns the owner to request it from if the other host does
    /// not know that it has changed, unless the request was `forwarded` already; `None` if the team is
    /// unknown.
    pub fn take_token_for_peer(
        &mut self,
        team: u32,
        forwarded: bool,
        now: Instant,
    ) -> Option<TokenSource> {
        let known = self.catalog.as_ref()?.team(team)?.clone();
        let Some(limits) = self.heard_limits(&known, now) else {
            return Some(TokenSource::Local(TokenOutcome::Granted));
        };
        let Some(owner) = self.token_owner(&known, now) else {
            return Some(TokenSource::Local(self.take_owned(&known, limits, now)));
        };
        self.quota.release(&known.id, now);
        Some(if forwarded {
            TokenSource::Local(self.take_isolated_token(&known, now))
        } else {
            TokenSource::Remote { owner, team }
        })
    }

    /// Hands the tokens of teams that the local host no longer owns over, because it leaves or another host
    /// has joined. Returns them by the peer address of the owner that follows: hash of the team's name,
    /// tenths of a token.
    pub fn hand_over_tokens(&mut self, now: Instant) -> HashMap<SocketAddr, Vec<(u32, u16)>> {
        let Some(catalog) = self.catalog.clone() else {
            return HashMap::new();
        };
        let mut messages: HashMap<SocketAddr, Vec<(u32, u16)>> = HashMap::new();
        for team in catalog.teams() {
            if !self.quota.has_tokens(&team.id) {
                continue;
            }
            let Some(owner) = self.token_owner(team, now) else {
                continue;
            };
            if let Some(tokens) = self.quota.hand_over(&team.id, now) {
                let hash = short_hash(team.id.as_str());
                messages
                    .entry(owner)
                    .or_default()
                    .push((hash, tenths(tokens)));
            }
        }
        messages
    }

    /// Accepts the tokens that the owner before hands over.
    pub fn accept_tokens(&mut self, teams: &[(u32, u16)], now: Instant) {
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for &(hash, tokens) in teams {
            if let Some(team) = catalog.team(hash) {
                self.quota.accept(&team.id, from_tenths(tokens), now);
            }
        }
    }

    /// Returns a token to a bucket of the local host, for a request that no endpoint ran.
    pub fn return_token(&mut self, team: u32) {
        if let Some(team) = self.catalog.as_ref().and_then(|c| c.team(team)) {
            self.quota.return_token(&team.id);
        }
    }

    /// Returns the address of the team's quota owner in the local region; `None` if the local host
    /// is the owner.
    pub fn token_owner(&self, team: &Team, now: Instant) -> Option<SocketAddr> {
        let hash = short_hash(team.id.as_str());
        self.owner(hash, &self.local.region, now)
            .map(|p| p.record.peer)
    }

    /// Returns the demand reports for the owners in other regions, by peer address, on all teams
    /// that the local host owns: hash of the team's name, tenths of a request per second.
    pub fn demand_reports(&mut self, now: Instant) -> HashMap<SocketAddr, Vec<(u32, u16)>> {
        let Some(catalog) = self.catalog.clone() else {
            return HashMap::new();
        };
        let regions = self.remote_regions(now);
        let mut messages: HashMap<SocketAddr, Vec<(u32, u16)>> = HashMap::new();
        for team in catalog.teams().filter(|t| t.rate.is_some()) {
            let hash = short_hash(team.id.as_str());
            if self.owner(hash, &self.local.region, now).is_some() {
                continue;
            }
            let demand = self.quota.report_demand(&team.id, now);
            for region in &regions {
                if let Some(owner) = self.owner(hash, region, now) {
                    messages
                        .entry(owner.record.peer)
                        .or_default()
                        .push((hash, tenths(demand)));
                }
            }
        }
        messages
    }

    /// Records the demand that an owner in another region reports.
    pub fn record_demand(&mut self, zone: &ZoneId, teams: &[(u32, u16)], now: Instant) {
        let Some(region) = self.local.zones.get(zone).cloned() else {
            return;
        };
        for &(team, tenths) in teams {
            self.quota
                .record_report(team, &region, from_tenths(tenths), now);
        }
    }

    /// Converts the wait in an owner's denial, in milliseconds, to a [`TokenOutcome`].
    pub fn denied_for(wait_ms: u32) -> TokenOutcome {
        TokenOutcome::Denied(Duration::from_millis(u64::from(wait_ms)))
    }
}
