//! Teams' limits over all hosts, retry budgets and the shares of split routes.

use std::time::{Duration, Instant};

use wagtail_steer::{Budget, Part, Shares, Split, Steer, Taken, Team};
use wagtail_types::{Clock, ManualClock};

use crate::support::{config, exchange, name, steer, team};

struct Fleet {
    hosts: Vec<Steer>,
    clock: ManualClock,
    ran: Vec<Instant>,
    refused: u32,
}

impl Fleet {
    fn new() -> Self {
        let clock = ManualClock::new();
        let zones = ["a1", "a2", "b1", "b2", "c1", "c2", "a1", "b1"];
        let mut hosts: Vec<_> = zones
            .iter()
            .enumerate()
            .map(|(i, z)| steer(&format!("host-{i}"), z, 100 + 10 * u16::try_from(i).expect("few")))
            .collect();
        for host in &mut hosts {
            host.configure(config(1)).expect("a valid configuration");
        }
        exchange(&mut hosts, &clock);
        Self { hosts, clock, ran: Vec::new(), refused: 0 }
    }

    /// Asks `rate` a second over the hosts in turn; those in `cut` exchange nothing.
    fn play(&mut self, team: &Team, rate: f64, time: Duration, cut: usize) {
        let step = Duration::from_millis(10);
        let mut owed = 0.0;
        let mut turn = 0;
        for tick in 0..time.as_millis() / step.as_millis() {
            owed += rate * step.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                turn += 1;
                let count = self.hosts.len();
                match self.hosts[turn % count].take_quota(team, self.clock.now()) {
                    Taken::Yes => self.ran.push(self.clock.now()),
                    Taken::No(_) => self.refused += 1,
                }
            }
            if tick % 40 == 0 {
                exchange(&mut self.hosts[cut..], &self.clock);
            }
            self.clock.advance(step);
        }
    }

    /// The most requests that ran in any window.
    fn most(&self, window: Duration) -> usize {
        let within = |first: &Instant, t: &&Instant| t.duration_since(*first) < window;
        let count = |i: usize, f: &Instant| self.ran[i..].iter().filter(|t| within(f, t)).count();
        self.ran.iter().enumerate().map(|(i, f)| count(i, f)).max().unwrap_or(0)
    }
}

const WINDOW: Duration = Duration::from_secs(5);

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
}

/// A team within its limit is not refused, as that would be worth lost.
#[test]
fn a_team_below_its_limit_is_not_refused() {
    for rate in [8, 20, 84] {
        let mut fleet = Fleet::new();
        let limit = team("blue", "key", Some(rate), u32::try_from(rate).expect("small"));
        fleet.play(&limit, rate as f64 * 0.6, Duration::from_secs(20), 0);
        let asked = fleet.ran.len() as f64 + f64::from(fleet.refused);
        assert!(f64::from(fleet.refused) < asked * 0.002, "rate {rate}: {} refused", fleet.refused);
    }
}

/// A team that suddenly asks for eight times its limit gets about its limit, and no more than is
/// promised in any window.
#[test]
fn a_hot_team_stays_within_its_limit() {
    let mut fleet = Fleet::new();
    let limit = team("blue", "key", Some(40), 40);
    fleet.play(&limit, 25.0, Duration::from_secs(8), 0);
    fleet.play(&limit, 320.0, Duration::from_secs(12), 0);
    let most = fleet.most(WINDOW);
    assert!((most as f64) <= allowed(40.0, 40.0), "{most} ran in a window");
    assert!((fleet.ran.len() as f64) > 25.0 * 8.0 + 0.8 * 40.0 * 12.0, "{} ran", fleet.ran.len());
}

/// A quarter of the hosts is cut off just before a team becomes hot: no window passes the promise.
#[test]
fn hosts_that_are_cut_off_stay_within_the_limit_together() {
    let mut fleet = Fleet::new();
    let limit = team("blue", "key", Some(40), 40);
    fleet.play(&limit, 25.0, Duration::from_secs(8), 0);
    fleet.play(&limit, 320.0, Duration::from_secs(12), 2);
    let most = fleet.most(WINDOW);
    assert!((most as f64) <= allowed(40.0, 40.0), "{most} ran in a window");
}

#[test]
fn further_attempts_stay_within_the_budget_of_all_hosts() {
    let clock = ManualClock::new();
    let window = Duration::from_secs(10);
    let mut taken = 0;
    for _host in 0..8 {
        let mut budget = Budget::new(window);
        for _ in 0..100 {
            budget.request(clock.now());
            taken += u32::from(budget.take(0.2, 56.0, 8, clock.now()));
        }
        for _ in 0..100 {
            taken += u32::from(budget.take(0.2, 56.0, 8, clock.now()));
        }
    }
    assert!(f64::from(taken) <= 0.2 * 800.0 + 56.0, "{taken} further attempts");
    assert!(taken > 100, "{taken} further attempts");
}

#[test]
fn split_routes_keep_their_weights() {
    let part = |service: &str, weight| Part { service: name(service), weight };
    let parts = [part("new", 10), part("old", 90)];
    let mut split = Split::default();
    let picks: Vec<_> = (0..200).filter_map(|_| split.next(&parts)).collect();
    let new = picks.iter().filter(|s| s.as_str() == "new").count();
    assert_eq!(new, 20);
}

#[test]
fn regions_take_over_slowly_unless_endpoints_were_lost() {
    let clock = ManualClock::new();
    let window = Duration::from_secs(2);
    let (home, away) = (name("a"), name("b"));
    let mut shares = Shares::new(window);
    for _ in 0..400 {
        shares.note(&home, clock.now());
        clock.advance(Duration::from_millis(10));
    }
    let mut moved = 0;
    for _ in 0..200 {
        if shares.allows(&away, 0.15, clock.now()) {
            shares.note(&away, clock.now());
            moved += 1;
        } else {
            shares.note(&home, clock.now());
        }
        clock.advance(Duration::from_millis(10));
    }
    assert!((1..=30).contains(&moved), "{moved} of 200 moved");
    shares.lift(clock.now() + window);
    assert!(shares.allows(&away, 0.15, clock.now()));
}
