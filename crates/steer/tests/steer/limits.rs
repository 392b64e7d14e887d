//! Rate limits of teams across all hosts, retry budgets, split routes and the limit on shifts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtail_steer::{
    RetryBudget, RetryLimits, ShiftLimiter, Steer, Team, TokenOutcome, TokenSource,
    WeightedService, WeightedSplit,
};
use wagtail_types::{Clock, ManualClock};

use crate::support::{config, exchange, name, steer, team};

/// Hosts that share the limit of one team.
struct Fleet {
    hosts: Vec<Steer>,
    clock: ManualClock,
    /// When tokens were granted.
    granted: Vec<Instant>,
    denied: u32,
    /// Whether the hosts that are cut off reach each other.
    is_island: bool,
}

impl Fleet {
    fn new(limit: &Team, count: usize) -> Self {
        let clock = ManualClock::new();
        let zones = ["a1", "b1", "c1", "a2", "b2", "c2"];
        let mut hosts: Vec<_> = (0..count)
            .map(|i| {
                let port = 100 + 10 * u16::try_from(i).expect("few hosts");
                steer(&format!("host-{i}"), zones[i % zones.len()], port)
            })
            .collect();
        let mut config = config(1);
        config.teams = vec![limit.clone()];
        for host in &mut hosts {
            assert_eq!(host.configure(config.clone()), Some(Vec::new()));
        }
        let records: Vec<_> = hosts
            .iter()
            .map(|h| h.local_host().record.clone())
            .collect();
        for host in &mut hosts {
            for record in &records {
                host.register_host(record.clone(), clock.now());
            }
            host.list_hosts(records.iter().map(|r| r.id.clone()).collect());
        }
        let mut fleet = Self {
            hosts,
            clock,
            granted: Vec::new(),
            denied: 0,
            is_island: false,
        };
        fleet.exchange_reports(0);
        fleet
    }

    /// Replaces every host by a new process that has read the registrations of the others.
    fn restart(&mut self, limit: &Team) {
        let records: Vec<_> = self
            .hosts
            .iter()
            .map(|h| h.local_host().record.clone())
            .collect();
        let mut config = config(1);
        config.teams = vec![limit.clone()];
        for (host, record) in self.hosts.iter_mut().zip(&records) {
            *host = steer(
                record.id.as_str(),
                record.zone.as_str(),
                record.front.port(),
            );
            assert_eq!(host.configure(config.clone()), Some(Vec::new()));
            for other in &records {
                host.register_host(other.clone(), self.clock.now());
            }
            host.mark_hosts_read();
        }
        self.exchange_reports(0);
    }

    /// Exchanges digests and demand reports between the hosts of each side of a cut, which the first `cut`
    /// hosts are on, or between all but these if they reach not even each other. Hosts forget those that have
    /// been silent for long.
    fn exchange_reports(&mut self, cut: usize) {
        let now = self.clock.now();
        let island = if self.is_island { 0..cut } else { 0..0 };
        for side in [cut..self.hosts.len(), island] {
            exchange(&mut self.hosts[side.clone()], &self.clock);
            for from in side.clone() {
                let zone = self.hosts[from].local_host().record.zone.clone();
                for (to, teams) in self.hosts[from].demand_reports(now) {
                    if let Some(owner) = self.hosts[side.clone()]
                        .iter_mut()
                        .find(|h| h.local_host().record.peer == to)
                    {
                        owner.record_demand(&zone, &teams, now);
                    }
                }
            }
        }
        for host in &mut self.hosts {
            host.prune_peers(now);
        }
    }

    /// Requests a token on one host, from the team's owner if both are on the connected side of the
    /// cut.
    fn request_token(&mut self, host: usize, team: &Team, cut: usize) -> TokenOutcome {
        let now = self.clock.now();
        let (owner, hash) = match self.hosts[host].take_token(team, now) {
            TokenSource::Local(taken) => return taken,
            TokenSource::Remote { owner, team } => (owner, team),
        };
        let owner = self.position(owner);
        if (owner < cut) == (host < cut) && (host >= cut || self.is_island) {
            let source = self.hosts[owner].take_token_for_peer(hash, false, now);
            match source.expect("a known team") {
                TokenSource::Local(taken) => return taken,
                TokenSource::Remote { owner, team } => {
                    let owner = self.position(owner);
                    let source = self.hosts[owner].take_token_for_peer(team, true, now);
                    if let Some(TokenSource::Local(taken)) = source {
                        return taken;
                    }
                }
            }
        }
        self.hosts[host].take_isolated_token(team, now)
    }

    fn position(&self, peer: SocketAddr) -> usize {
        let found = self
            .hosts
            .iter()
            .position(|h| h.local_host().record.peer == peer);
        found.expect("a host")
    }

    /// Requests `rate` tokens per second, on the hosts in turn; the first `cut` hosts reach no
    /// other host.
    fn run(&mut self, team: &Team, rate: f64, time: Duration, cut: usize) {
        let step = Duration::from_millis(10);
        let mut owed = 0.0;
        let mut turn = 0;
        for tick in 0..time.as_millis() / step.as_millis() {
            owed += rate * step.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                turn += 1;
                match self.request_token(turn % self.hosts.len(), team, cut) {
                    TokenOutcome::Granted => self.granted.push(self.clock.now()),
                    TokenOutcome::Denied(_) => self.denied += 1,
                }
            }
            if tick % 100 == 0 {
                self.exchange_reports(cut);
            }
            self.clock.advance(step);
        }
    }

    /// Returns the largest number of requests that ran in any window.
    fn max_in_window(&self, window: Duration) -> usize {
        let within = |first: &Instant, t: &&Instant| t.duration_since(*first) < window;
        let count =
            |i: usize, f: &Instant| self.granted[i..].iter().filter(|t| within(f, t)).count();
        self.granted
            .iter()
            .enumerate()
            .map(|(i, f)| count(i, f))
            .max()
            .unwrap_or(0)
    }
}

pub(crate) const WINDOW: Duration = Duration::from_secs(5);

/// Returns the number of requests that the limit allows in one window.
pub(crate) fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
}

/// A team below its limit must not be rejected, neither on a few hosts nor on many, where a host's
/// share of the limit is less than one request.
#[test]
fn a_team_below_its_limit_is_not_refused() {
    for (rate, hosts) in [(8, 8), (84, 8), (38, 84), (8, 84)] {
        let limit = team(
            "blue",
            "key",
            Some(rate),
            u32::try_from(rate).expect("small"),
        );
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.run(&limit, rate as f64 * 0.6, Duration::from_secs(20), 0);
        let requested = fleet.granted.len() as f64 + f64::from(fleet.denied);
        let denied = f64::from(fleet.denied);
        assert!(
            denied < requested * 0.002,
            "rate {rate}, {hosts} hosts: {denied} of {requested} denied"
        );
    }
}

/// A team whose rate suddenly rises to eight times its limit must receive about its limit, and no
/// more than the allowed number of requests in any window.
#[test]
fn a_hot_team_stays_within_its_limit() {
    for hosts in [8, 84] {
        let limit = team("blue", "key", Some(40), 40);
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.run(&limit, 25.0, Duration::from_secs(8), 0);
        fleet.run(&limit, 320.0, Duration::from_secs(12), 0);
        let max_in_window = fleet.max_in_window(WINDOW);
        assert!(
            (max_in_window as f64) <= allowed(40.0, 40.0),
            "{max_in_window} granted in a window"
        );
        let granted = fleet.granted.len() as f64;
        assert!(
            granted > 25.0 * 8.0 + 0.8 * 40.0 * 12.0,
            "{granted} granted"
        );
    }
}

/// A host that has just started knows its peers by their registrations only. It must select the
/// same quota owners as hosts that have received digests from all; otherwise callers are rejected
/// for lack of an owner.
#[test]
fn a_host_that_has_just_started_selects_the_same_quota_owners() {
    let clock = ManualClock::new();
    let mut hosts: Vec<Steer> = (0..8)
        .map(|i| steer(&format!("host-{i}"), "a1", 100 + 10 * i))
        .collect();
    for host in &mut hosts {
        assert_eq!(host.configure(config(1)), Some(Vec::new()));
    }
    exchange(&mut hosts, &clock);
    clock.advance(Duration::from_secs(2));
    exchange(&mut hosts, &clock);
    let mut new = steer("host-0", "a1", 100);
    assert_eq!(new.configure(config(1)), Some(Vec::new()));
    for host in &hosts[1..] {
        new.register_host(host.local_host().record.clone(), clock.now());
    }
    new.mark_hosts_read();
    for i in 0..40 {
        let limit = team(&format!("team-{i}"), &format!("key-{i}"), Some(50), 10);
        let expected = hosts[0].take_token(&limit, clock.now());
        assert_eq!(
            new.take_token(&limit, clock.now()),
            expected,
            "{}",
            limit.id
        );
    }
    // Hosts that send no digest count as alive for the join grace period only.
    clock.advance(Duration::from_secs(2));
    assert_eq!(new.host_count(clock.now()), 1);
}

/// A quarter of the hosts is cut off just before a team's rate rises. The cut-off hosts grant tokens
/// without the owners; together with the others they must not exceed the limit in any window.
#[test]
fn hosts_that_are_cut_off_stay_within_the_limit_together() {
    for hosts in [8, 84] {
        let limit = team("blue", "key", Some(40), 40);
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.run(&limit, 25.0, Duration::from_secs(8), 0);
        fleet.run(&limit, 320.0, Duration::from_secs(12), hosts / 4);
        let max_in_window = fleet.max_in_window(WINDOW);
        assert!(
            (max_in_window as f64) <= allowed(40.0, 40.0),
            "{hosts} hosts: {max_in_window} granted in a window"
        );
    }
}

/// Hosts that have been cut off for so long that they have forgotten the others must not take the whole limit
/// for their own, neither alone nor with others of their zone.
#[test]
fn hosts_that_are_cut_off_for_long_stay_within_the_limit_together() {
    for (hosts, cut, is_island) in [
        (8, 1, false),
        (8, 2, false),
        (84, 21, false),
        (8, 2, true),
        (12, 4, true),
        (84, 14, true),
    ] {
        let limit = team("blue", "key", Some(40), 40);
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.is_island = is_island;
        fleet.run(&limit, 25.0, Duration::from_secs(8), 0);
        fleet.run(&limit, 320.0, Duration::from_secs(90), cut);
        let max_in_window = fleet.max_in_window(WINDOW);
        let case = format!("{cut} of {hosts} hosts, island {is_island}");
        assert!(
            (max_in_window as f64) <= allowed(40.0, 40.0),
            "{case}: {max_in_window} granted in a window"
        );
    }
}

/// All hosts restart, and again, half a second after a team below its limit has begun to send many
/// times as much. The new processes must not grant the burst that the ones before have granted.
#[test]
fn restarted_hosts_do_not_grant_the_burst_of_a_team_again() {
    for (rate, burst) in [(10, 10), (40, 40), (40, 120)] {
        for restarts in 1..=3 {
            let limit = team("blue", "key", Some(rate), burst);
            let mut fleet = Fleet::new(&limit, 8);
            fleet.run(&limit, rate as f64 * 0.6, Duration::from_secs(8), 0);
            fleet.run(&limit, rate as f64 * 8.0, Duration::from_millis(500), 0);
            for _ in 0..restarts {
                fleet.clock.advance(Duration::from_millis(500));
                fleet.restart(&limit);
                fleet.run(&limit, rate as f64 * 8.0, Duration::from_millis(700), 0);
            }
            fleet.run(&limit, rate as f64 * 8.0, WINDOW, 0);
            let max_in_window = fleet.max_in_window(WINDOW) as f64;
            let allowed = allowed(rate as f64, f64::from(burst));
            assert!(
                max_in_window <= allowed,
                "{rate}/s, burst {burst}, {restarts} restarts: {max_in_window} of {allowed}"
            );
        }
    }
}

#[test]
fn retries_stay_within_the_budget_of_all_hosts() {
    let clock = ManualClock::new();
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 56.0,
        window: Duration::from_secs(10),
    };
    let mut taken = 0;
    for _host in 0..8 {
        let mut budget = RetryBudget::new(limits, 8, clock.now());
        for _ in 0..100 {
            budget.request(8, clock.now());
            taken += u32::from(budget.take(8, clock.now()));
        }
        for _ in 0..100 {
            taken += u32::from(budget.take(8, clock.now()));
        }
    }
    assert!(f64::from(taken) <= 0.2 * 800.0 + 56.0, "{taken} retries");
    assert!(taken > 100, "{taken} retries");
}

#[test]
fn split_routes_keep_their_weights() {
    let weighted = |service: &str, weight| WeightedService {
        service: name(service),
        weight,
    };
    let services = [weighted("new", 10), weighted("old", 90)];
    let mut split = WeightedSplit::default();
    let picks: Vec<_> = (0..200).filter_map(|_| split.next(&services)).collect();
    let new = picks.iter().filter(|s| s.as_str() == "new").count();
    assert_eq!(new, 20);
}

#[test]
fn traffic_shifts_slowly_unless_the_limit_is_suspended() {
    let clock = ManualClock::new();
    let window = Duration::from_secs(2);
    let (home, away) = (name("a"), name("b"));
    let mut limiter = ShiftLimiter::new(window);
    for _ in 0..400 {
        limiter.record(&home, clock.now());
        clock.advance(Duration::from_millis(10));
    }
    let mut moved = 0;
    for _ in 0..200 {
        if limiter.allows(&away, 0.15, clock.now()) {
            limiter.record(&away, clock.now());
            moved += 1;
        } else {
            limiter.record(&home, clock.now());
        }
        clock.advance(Duration::from_millis(10));
    }
    assert!((1..=30).contains(&moved), "{moved} of 200 moved");
    limiter.suspend(clock.now() + window);
    assert!(limiter.allows(&away, 0.15, clock.now()));
}
