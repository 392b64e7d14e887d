//! The queue: weighted shares, one team over its share, and truthful refusals.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_route::{Effect, Lease, Mutant, Outcome, Placement, TeamKey, Ticket};
use wagtail_types::Verdict;

use crate::support::{Single, config, id, ms, one_zone, request, settings, team};

const SLOTS: u32 = 4;
const RUN: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(1);
const TEAMS: [&str; 3] = ["x", "y", "z"];

/// One endpoint, its queue, and what became of every request.
struct Desk {
    single: Single,
    teams: Vec<TeamKey>,
    running: Vec<(Instant, Lease)>,
    waiting: HashMap<Ticket, Sent>,
    starts: [u32; 3],
    refused: [u32; 3],
    waits: [Vec<Duration>; 3],
}

#[derive(Clone, Copy)]
struct Sent {
    team: usize,
    at: Instant,
    deadline: Instant,
    run: Duration,
}

impl Desk {
    fn new(weights: [u32; 3], mutant: Option<Mutant>) -> Self {
        let mut settings = settings("one", "a", "r").with_mutant(mutant);
        settings.queue.max_wait = Duration::from_secs(5);
        settings.queue.assumed_duration = RUN;
        let mut topology = one_zone(1, SLOTS);
        topology.teams = TEAMS.iter().zip(weights).map(|(t, w)| team(t, w)).collect();
        let single = Single::new(settings, topology);
        let key = |name: &&str| single.router.team(&id(name)).expect("configured");
        Self {
            teams: TEAMS.iter().map(key).collect(),
            single,
            running: Vec::new(),
            waiting: HashMap::new(),
            starts: [0; 3],
            refused: [0; 3],
            waits: Default::default(),
        }
    }

    fn send(&mut self, team: usize, patience: Duration, run: Duration) -> Option<Verdict> {
        let at = self.single.now;
        let deadline = at + patience;
        let sent = Sent {
            team,
            at,
            deadline,
            run,
        };
        let mut request = request(self.single.service, deadline);
        request.team = Some(self.teams[team]);
        let placed = self.single.router.place(at, &request);
        let verdict = match placed {
            Placement::Dispatch(lease) => {
                self.start(sent, lease);
                None
            }
            Placement::Queued(ticket) => {
                self.waiting.insert(ticket, sent);
                None
            }
            Placement::Refuse(verdict) => {
                self.refused[team] += 1;
                Some(verdict)
            }
            Placement::Relay(pass) => panic!("there is no other host: {pass:?}"),
        };
        self.effects().unwrap();
        verdict
    }

    fn start(&mut self, sent: Sent, lease: Lease) {
        let wait = self.single.now - sent.at;
        self.starts[sent.team] += 1;
        self.waits[sent.team].push(wait);
        self.running.push((self.single.now + sent.run, lease));
    }

    fn effects(&mut self) -> Result<(), String> {
        for effect in self.single.effects() {
            match effect {
                Effect::Start { ticket, lease } => {
                    let sent = self.waiting.remove(&ticket).ok_or("an unknown start")?;
                    if self.single.now > sent.deadline {
                        return Err("a start after the deadline".into());
                    }
                    self.start(sent, lease);
                }
                Effect::Refuse { ticket, verdict } => {
                    let sent = self.waiting.remove(&ticket).ok_or("an unknown refusal")?;
                    assert!(verdict.is_not_run());
                    self.refused[sent.team] += 1;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        self.single.now += STEP;
        let now = self.single.now;
        while let Some(at) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, lease) = self.running.swap_remove(at);
            self.single.router.finish(now, lease, Outcome::Answered);
            self.effects()?;
        }
        self.single.router.tick(now);
        self.effects()
    }

    fn queued(&self, team: usize) -> usize {
        self.waiting
            .values()
            .filter(|sent| sent.team == team)
            .count()
    }
}

/// With every team always waiting, also while all slots come free at once, starts per weight differ by no more than one request each.
fn fair(weights: [u32; 3], depths: [usize; 3], mutant: Option<Mutant>) -> Result<(), String> {
    let mut desk = Desk::new(weights, mutant);
    let patience = Duration::from_secs(4);
    for step in 0..700 {
        for (team, depth) in depths.into_iter().enumerate() {
            while desk.queued(team) < depth {
                if desk.send(team, patience, RUN).is_some() {
                    return Err(format!("team {team} was refused at {step}"));
                }
            }
        }
        if step == 100 {
            desk.starts = [0; 3];
        }
        desk.step()?;
        if step < 100 {
            continue;
        }
        let share = |n: usize| f64::from(desk.starts[n]) / f64::from(weights[n]);
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let bound = 2.0 * (1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]));
            let off = (share(a) - share(b)).abs();
            if off > bound {
                return Err(format!("starts {:?} for weights {weights:?}", desk.starts));
            }
        }
    }
    Ok(())
}

type Shape = ([u32; 3], [usize; 3]);

fn search_fair(mutant: Option<Mutant>) -> Result<(), TestError<Shape>> {
    let weights = [1..5_u32, 1..5, 1..5];
    let depths = [4..10_usize, 4..10, 4..10];
    TestRunner::new(config(24)).run(&(weights, depths), |(weights, depths)| {
        fair(weights, depths, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn every_waiting_team_gets_its_weighted_share() {
    search_fair(None).unwrap();
}

#[test]
fn the_oracle_finds_service_in_order_of_arrival() {
    let found = search_fair(Some(Mutant::Fifo));
    assert!(matches!(found, Err(TestError::Fail(..))));
}

/// Team `x` at `times` its share, the others below theirs; chances per step.
fn surge(times: f64, seed: u64) -> Desk {
    let mut desk = Desk::new([1; 3], None);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..4_000 {
        for (team, chance) in [0.05 * times, 0.02, 0.02].into_iter().enumerate() {
            if rng.random_bool(chance) {
                desk.send(team, ms(200), RUN);
            }
        }
        desk.step().unwrap();
    }
    desk
}

#[test]
fn one_team_at_five_times_takes_nothing_from_the_others() {
    for seed in 0..8 {
        let calm = surge(1.0, seed);
        let desk = surge(5.0, seed);
        assert_eq!(calm.refused, [0; 3]);
        assert_eq!(desk.refused[1..], [0, 0], "seed {seed}");
        assert!(desk.refused[0] > 0, "seed {seed}: the test must overload");
        for team in 1..3 {
            let mut waits = desk.waits[team].clone();
            waits.sort();
            let p99 = waits[waits.len() * 99 / 100];
            assert!(p99 <= RUN * 2, "seed {seed}: team {team} waits {p99:?}");
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    team: usize,
    patience: u16,
    run: u8,
    gap: u8,
}

fn arrivals(run: impl Strategy<Value = u8> + Clone) -> impl Strategy<Value = Vec<Arrival>> {
    let one = (0..3_usize, 1..300_u16, run, 0..8_u8);
    let one = one.prop_map(|(team, patience, run, gap)| Arrival {
        team,
        patience,
        run,
        gap,
    });
    prop::collection::vec(one, 1..200)
}

/// Every request starts before its deadline or is refused, once, and none is left over.
fn resolve(arrivals: &[Arrival], mutant: Option<Mutant>) -> Result<(), String> {
    let mut desk = Desk::new([1, 2, 3], mutant);
    for arrival in arrivals {
        let patience = ms(u64::from(arrival.patience));
        desk.send(arrival.team, patience, ms(u64::from(arrival.run)));
        (0..arrival.gap).try_for_each(|_| desk.step())?;
    }
    (0..500).try_for_each(|_| desk.step())?;
    let ends: u32 = desk.starts.iter().chain(&desk.refused).sum();
    if !desk.waiting.is_empty() || ends as usize != arrivals.len() {
        return Err(format!("{ends} of {} requests have an end", arrivals.len()));
    }
    Ok(())
}

fn search_resolve(mutant: Option<Mutant>) -> Result<(), TestError<Vec<Arrival>>> {
    TestRunner::new(config(100)).run(&arrivals(1..80_u8), |arrivals| {
        resolve(&arrivals, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn every_request_starts_in_time_or_is_refused() {
    search_resolve(None).unwrap();
}

#[test]
fn the_oracle_finds_late_starts() {
    let found = search_resolve(Some(Mutant::StartExpired));
    assert!(matches!(found, Err(TestError::Fail(..))));
}

proptest! {
    #![proptest_config(config(100))]

    /// A refused request that comes again after the time it was told finds a place, where
    /// nothing else came in between.
    #[test]
    fn the_retry_time_is_truthful(arrivals in arrivals(Just(20_u8))) {
        let mut desk = Desk::new([1, 2, 3], None);
        for arrival in arrivals {
            let patience = ms(u64::from(arrival.patience.max(25)));
            let verdict = desk.send(arrival.team, patience, RUN);
            if let Some(Verdict::NotRun { retry, .. }) = verdict {
                let due = desk.single.now + retry.expect("a time");
                while desk.single.now < due {
                    desk.step().map_err(TestCaseError::fail)?;
                }
                let again = desk.send(arrival.team, patience, RUN);
                prop_assert_eq!(again, None);
                return Ok(());
            }
            for _ in 0..arrival.gap {
                desk.step().map_err(TestCaseError::fail)?;
            }
        }
    }

    /// What is refused at once could not have started in time: every slot and everything
    /// ahead would have kept it waiting for longer than it could wait.
    #[test]
    fn nothing_is_refused_that_could_start(arrivals in arrivals(Just(20_u8))) {
        let mut desk = Desk::new([1; 3], None);
        for arrival in arrivals {
            let patience = ms(u64::from(arrival.patience));
            let (at, ahead) = (desk.single.now, desk.waiting.len());
            let mut ends: Vec<_> = desk.running.iter().map(|(end, _)| *end).collect();
            if desk.send(0, patience, RUN).is_some() && ahead < 32 {
                ends.sort();
                let rounds = u32::try_from(ahead / ends.len()).expect("small");
                let start = ends[ahead % ends.len()] + RUN * rounds;
                prop_assert!(start + RUN > at + patience, "could start after {:?}", start - at);
            }
            for _ in 0..arrival.gap {
                desk.step().map_err(TestCaseError::fail)?;
            }
        }
    }
}

#[test]
fn a_cancelled_request_neither_starts_nor_counts() {
    let mut desk = Desk::new([1; 3], None);
    for _ in 0..SLOTS + 2 {
        desk.send(0, ms(300), RUN);
    }
    let tickets: Vec<_> = desk.waiting.keys().copied().collect();
    assert_eq!(tickets.len(), 2);
    assert!(desk.single.router.cancel(tickets[0]));
    assert!(!desk.single.router.cancel(tickets[0]));
    desk.waiting.remove(&tickets[0]);
    for _ in 0..100 {
        desk.step().unwrap();
    }
    assert_eq!(desk.starts[0], SLOTS + 1);
    assert!(!desk.single.router.cancel(tickets[1]), "it has started");
}
