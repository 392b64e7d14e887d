//! Teams' limits over all hosts, retry budgets and the shares of split routes.

use std::time::{Duration, Instant};

use wagtail_steer::{Part, RetryBudget, ShiftLimiter, Steer, Taken, Team, Token, WeightedSplit};
use wagtail_types::{Clock, ManualClock};

use crate::support::{config, exchange, name, steer, team};

struct Fleet {
    hosts: Vec<Steer>,
    clock: ManualClock,
    ran: Vec<Instant>,
    refused: u32,
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
            host.configure(config.clone())
                .expect("a valid configuration");
        }
        let mut fleet = Self {
            hosts,
            clock,
            ran: Vec::new(),
            refused: 0,
        };
        fleet.talk(0);
        fleet
    }

    /// Exchanges digests and demand between all hosts but the first `cut`.
    fn talk(&mut self, cut: usize) {
        let now = self.clock.now();
        exchange(&mut self.hosts[cut..], &self.clock);
        for from in cut..self.hosts.len() {
            let zone = self.hosts[from].us().record.zone.clone();
            for (to, teams) in self.hosts[from].demands(now) {
                if let Some(keeper) = self.hosts[cut..]
                    .iter_mut()
                    .find(|h| h.us().record.peer == to)
                {
                    keeper.hear_demand(&zone, &teams, now);
                }
            }
        }
    }

    /// Asks one host for a token, and its keeper if both are on the same side of a cut.
    fn ask(&mut self, host: usize, team: &Team, cut: usize) -> Taken {
        let now = self.clock.now();
        let (keeper, hash) = match self.hosts[host].token(team, now) {
            Token::Here(taken) => return taken,
            Token::Ask { keeper, team } => (keeper, team),
        };
        let keeper = self
            .hosts
            .iter()
            .position(|h| h.us().record.peer == keeper)
            .expect("a host");
        if (keeper < cut) == (host < cut) && host >= cut {
            return self.hosts[keeper]
                .token_for(hash, now)
                .expect("a known team");
        }
        self.hosts[host].token_alone(team, now)
    }

    /// Asks `rate` a second over the hosts in turn; the first `cut` hosts reach no other.
    fn play(&mut self, team: &Team, rate: f64, time: Duration, cut: usize) {
        let step = Duration::from_millis(10);
        let mut owed = 0.0;
        let mut turn = 0;
        for tick in 0..time.as_millis() / step.as_millis() {
            owed += rate * step.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                turn += 1;
                match self.ask(turn % self.hosts.len(), team, cut) {
                    Taken::Yes => self.ran.push(self.clock.now()),
                    Taken::No(_) => self.refused += 1,
                }
            }
            if tick % 100 == 0 {
                self.talk(cut);
            }
            self.clock.advance(step);
        }
    }

    /// The most requests that ran in any window.
    fn most(&self, window: Duration) -> usize {
        let within = |first: &Instant, t: &&Instant| t.duration_since(*first) < window;
        let count = |i: usize, f: &Instant| self.ran[i..].iter().filter(|t| within(f, t)).count();
        self.ran
            .iter()
            .enumerate()
            .map(|(i, f)| count(i, f))
            .max()
            .unwrap_or(0)
    }
}

const WINDOW: Duration = Duration::from_secs(5);

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
}

/// A team within its limit is not refused, on a few hosts as on many, where a host's part of a
/// limit is below one request.
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
        fleet.play(&limit, rate as f64 * 0.6, Duration::from_secs(20), 0);
        let asked = fleet.ran.len() as f64 + f64::from(fleet.refused);
        let refused = f64::from(fleet.refused);
        assert!(
            refused < asked * 0.002,
            "rate {rate}, {hosts} hosts: {refused} of {asked} refused"
        );
    }
}

/// A team that suddenly asks for eight times its limit gets about its limit, and no more than is
/// promised in any window.
#[test]
fn a_hot_team_stays_within_its_limit() {
    for hosts in [8, 84] {
        let limit = team("blue", "key", Some(40), 40);
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.play(&limit, 25.0, Duration::from_secs(8), 0);
        fleet.play(&limit, 320.0, Duration::from_secs(12), 0);
        let most = fleet.most(WINDOW);
        assert!(
            (most as f64) <= allowed(40.0, 40.0),
            "{most} ran in a window"
        );
        let ran = fleet.ran.len() as f64;
        assert!(ran > 25.0 * 8.0 + 0.8 * 40.0 * 12.0, "{ran} ran");
    }
}

/// A quarter of the hosts is cut off just before a team becomes hot: no window passes the promise.
/// A host that has just started knows the others by their registrations only. It must ask the same
/// keepers as those who have heard them all, or callers are refused for want of a keeper.
#[test]
fn a_host_that_has_just_started_asks_the_same_keepers() {
    let clock = ManualClock::new();
    let mut hosts: Vec<Steer> = (0..8)
        .map(|i| steer(&format!("host-{i}"), "a1", 100 + 10 * i))
        .collect();
    for host in &mut hosts {
        host.configure(config(1)).expect("a valid configuration");
    }
    exchange(&mut hosts, &clock);
    clock.advance(Duration::from_secs(2));
    exchange(&mut hosts, &clock);
    let mut new = steer("host-0", "a1", 100);
    new.configure(config(1)).expect("a valid configuration");
    for host in &hosts[1..] {
        new.register_host(host.us().record.clone(), clock.now());
    }
    new.hosts_read();
    for i in 0..40 {
        let limit = team(&format!("team-{i}"), &format!("key-{i}"), Some(50), 10);
        let known = hosts[0].token(&limit, clock.now());
        assert_eq!(new.token(&limit, clock.now()), known, "{}", limit.id);
    }
    // Hosts that stay silent are not waited for.
    clock.advance(Duration::from_secs(2));
    assert_eq!(new.host_count(clock.now()), 1);
}

#[test]
fn hosts_that_are_cut_off_stay_within_the_limit_together() {
    for hosts in [8, 84] {
        let limit = team("blue", "key", Some(40), 40);
        let mut fleet = Fleet::new(&limit, hosts);
        fleet.play(&limit, 25.0, Duration::from_secs(8), 0);
        fleet.play(&limit, 320.0, Duration::from_secs(12), hosts / 4);
        let most = fleet.most(WINDOW);
        assert!(
            (most as f64) <= allowed(40.0, 40.0),
            "{hosts} hosts: {most} ran in a window"
        );
    }
}

#[test]
fn further_attempts_stay_within_the_budget_of_all_hosts() {
    let clock = ManualClock::new();
    let window = Duration::from_secs(10);
    let mut taken = 0;
    for _host in 0..8 {
        let mut budget = RetryBudget::new(window);
        for _ in 0..100 {
            budget.request(clock.now());
            taken += u32::from(budget.take(0.2, 56.0, 8, clock.now()));
        }
        for _ in 0..100 {
            taken += u32::from(budget.take(0.2, 56.0, 8, clock.now()));
        }
    }
    assert!(
        f64::from(taken) <= 0.2 * 800.0 + 56.0,
        "{taken} further attempts"
    );
    assert!(taken > 100, "{taken} further attempts");
}

#[test]
fn split_routes_keep_their_weights() {
    let part = |service: &str, weight| Part {
        service: name(service),
        weight,
    };
    let parts = [part("new", 10), part("old", 90)];
    let mut split = WeightedSplit::default();
    let picks: Vec<_> = (0..200).filter_map(|_| split.next(&parts)).collect();
    let new = picks.iter().filter(|s| s.as_str() == "new").count();
    assert_eq!(new, 20);
}

#[test]
fn regions_take_over_slowly_unless_endpoints_were_lost() {
    let clock = ManualClock::new();
    let window = Duration::from_secs(2);
    let (home, away) = (name("a"), name("b"));
    let mut shares = ShiftLimiter::new(window);
    for _ in 0..400 {
        shares.record(&home, clock.now());
        clock.advance(Duration::from_millis(10));
    }
    let mut moved = 0;
    for _ in 0..200 {
        if shares.allows(&away, 0.15, clock.now()) {
            shares.record(&away, clock.now());
            moved += 1;
        } else {
            shares.record(&home, clock.now());
        }
        clock.advance(Duration::from_millis(10));
    }
    assert!((1..=30).contains(&moved), "{moved} of 200 moved");
    shares.suspend(clock.now() + window);
    assert!(shares.allows(&away, 0.15, clock.now()));
}
