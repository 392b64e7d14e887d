//! The queue gives teams their weighted shares, isolates an overloading team, and refuses only
//! requests that could not start in time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_route::{Effect, Lease, Mutant, Outcome, Placement, TeamKey, Ticket};
use wagtail_types::Verdict;

use crate::support::{SingleHost, config, id, ms, one_zone, request, settings, team};

const SLOTS: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(1);
const TEAMS: [&str; 3] = ["x", "y", "z"];

/// Simulates one endpoint and its queue, and tracks the outcome of every request.
struct QueueSim {
    single: SingleHost,
    teams: Vec<TeamKey>,
    running: Vec<(Instant, Lease)>,
    waiting: HashMap<Ticket, SentRequest>,
    starts: [u32; 3],
    refused: [u32; 3],
    waits: [Vec<Duration>; 3],
}

#[derive(Clone, Copy)]
struct SentRequest {
    team: usize,
    at: Instant,
    deadline: Instant,
    run: Duration,
}

impl QueueSim {
    fn new(weights: [u32; 3], mutant: Option<Mutant>) -> Self {
        let mut settings = settings("one", "a", "r").with_mutant(mutant);
        settings.queue.max_wait = Duration::from_secs(5);
        settings.queue.assumed_duration = RUN_TIME;
        let mut topology = one_zone(1, SLOTS);
        topology.teams = TEAMS.iter().zip(weights).map(|(t, w)| team(t, w)).collect();
        let single = SingleHost::new(settings, topology);
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

    fn send(&mut self, team: usize, timeout: Duration, run: Duration) -> Option<Verdict> {
        let at = self.single.now;
        let deadline = at + timeout;
        let sent = SentRequest {
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
            Placement::Relay(permit) => panic!("there is no other host: {permit:?}"),
        };
        self.drain_effects().unwrap();
        verdict
    }

    fn start(&mut self, sent: SentRequest, lease: Lease) {
        let wait = self.single.now - sent.at;
        self.starts[sent.team] += 1;
        self.waits[sent.team].push(wait);
        self.running.push((self.single.now + sent.run, lease));
    }

    fn drain_effects(&mut self) -> Result<(), String> {
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
            self.drain_effects()?;
        }
        self.single.router.tick(now);
        self.drain_effects()
    }

    fn queued(&self, team: usize) -> usize {
        self.waiting
            .values()
            .filter(|sent| sent.team == team)
            .count()
    }
}

/// Checks that the starts per weight of any two teams differ by at most two requests of each, with
/// every team always waiting, also while all slots become free at once.
fn check_fairness(
    weights: [u32; 3],
    depths: [usize; 3],
    mutant: Option<Mutant>,
) -> Result<(), String> {
    let mut sim = QueueSim::new(weights, mutant);
    let timeout = Duration::from_secs(4);
    for step in 0..700 {
        for (team, depth) in depths.into_iter().enumerate() {
            while sim.queued(team) < depth {
                if sim.send(team, timeout, RUN_TIME).is_some() {
                    return Err(format!("team {team} was refused at {step}"));
                }
            }
        }
        if step == 100 {
            sim.starts = [0; 3];
        }
        sim.step()?;
        if step < 100 {
            continue;
        }
        let share = |n: usize| f64::from(sim.starts[n]) / f64::from(weights[n]);
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let bound = 2.0 * (1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]));
            let off = (share(a) - share(b)).abs();
            if off > bound {
                return Err(format!("starts {:?} for weights {weights:?}", sim.starts));
            }
        }
    }
    Ok(())
}

type FairnessCase = ([u32; 3], [usize; 3]);

fn search_fairness(mutant: Option<Mutant>) -> Result<(), TestError<FairnessCase>> {
    let weights = [1..5_u32, 1..5, 1..5];
    let depths = [4..10_usize, 4..10, 4..10];
    TestRunner::new(config(24)).run(&(weights, depths), |(weights, depths)| {
        check_fairness(weights, depths, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn every_waiting_team_gets_its_weighted_share() {
    search_fairness(None).unwrap();
}

#[test]
fn the_oracle_detects_fifo_order() {
    let found = search_fairness(Some(Mutant::Fifo));
    assert!(matches!(found, Err(TestError::Fail(..))));
}

/// Simulates team `x` at `times` its share and the others below theirs, with the given arrival
/// probabilities per step.
fn simulate_surge(times: f64, seed: u64) -> QueueSim {
    let mut sim = QueueSim::new([1; 3], None);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..4_000 {
        for (team, chance) in [0.05 * times, 0.02, 0.02].into_iter().enumerate() {
            if rng.random_bool(chance) {
                sim.send(team, ms(200), RUN_TIME);
            }
        }
        sim.step().unwrap();
    }
    sim
}

#[test]
fn a_team_at_five_times_its_share_does_not_affect_others() {
    for seed in 0..8 {
        let normal = simulate_surge(1.0, seed);
        let sim = simulate_surge(5.0, seed);
        assert_eq!(normal.refused, [0; 3]);
        assert_eq!(sim.refused[1..], [0, 0], "seed {seed}");
        assert!(sim.refused[0] > 0, "seed {seed}: the test must overload");
        for team in 1..3 {
            let mut waits = sim.waits[team].clone();
            waits.sort();
            let p99 = waits[waits.len() * 99 / 100];
            assert!(
                p99 <= RUN_TIME * 2,
                "seed {seed}: team {team} waits {p99:?}"
            );
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    team: usize,
    timeout: u16,
    run: u8,
    gap: u8,
}

fn arrivals(run: impl Strategy<Value = u8> + Clone) -> impl Strategy<Value = Vec<Arrival>> {
    let one = (0..3_usize, 1..300_u16, run, 0..8_u8);
    let one = one.prop_map(|(team, timeout, run, gap)| Arrival {
        team,
        timeout,
        run,
        gap,
    });
    prop::collection::vec(one, 1..200)
}

/// Checks that every request either starts before its deadline or is refused, exactly once.
fn check_outcomes(arrivals: &[Arrival], mutant: Option<Mutant>) -> Result<(), String> {
    let mut sim = QueueSim::new([1, 2, 3], mutant);
    for arrival in arrivals {
        let timeout = ms(u64::from(arrival.timeout));
        sim.send(arrival.team, timeout, ms(u64::from(arrival.run)));
        (0..arrival.gap).try_for_each(|_| sim.step())?;
    }
    (0..500).try_for_each(|_| sim.step())?;
    let ends: u32 = sim.starts.iter().chain(&sim.refused).sum();
    if !sim.waiting.is_empty() || ends as usize != arrivals.len() {
        return Err(format!("{ends} of {} requests have an end", arrivals.len()));
    }
    Ok(())
}

fn search_outcomes(mutant: Option<Mutant>) -> Result<(), TestError<Vec<Arrival>>> {
    TestRunner::new(config(100)).run(&arrivals(1..80_u8), |arrivals| {
        check_outcomes(&arrivals, mutant).map_err(TestCaseError::fail)
    })
}

#[test]
fn every_request_starts_in_time_or_is_refused() {
    search_outcomes(None).unwrap();
}

#[test]
fn the_oracle_detects_late_starts() {
    let found = search_outcomes(Some(Mutant::StartExpired));
    assert!(matches!(found, Err(TestError::Fail(..))));
}

proptest! {
    #![proptest_config(config(100))]

    /// A refused request that is repeated after the returned retry time is accepted, if nothing
    /// else arrived in between.
    #[test]
    fn a_retry_after_the_returned_time_is_accepted(arrivals in arrivals(Just(20_u8))) {
        let mut sim = QueueSim::new([1, 2, 3], None);
        for arrival in arrivals {
            let timeout = ms(u64::from(arrival.timeout.max(25)));
            let verdict = sim.send(arrival.team, timeout, RUN_TIME);
            if let Some(Verdict::NotRun { retry, .. }) = verdict {
                let due = sim.single.now + retry.expect("a time");
                while sim.single.now < due {
                    sim.step().map_err(TestCaseError::fail)?;
                }
                let again = sim.send(arrival.team, timeout, RUN_TIME);
                prop_assert_eq!(again, None);
                return Ok(());
            }
            for _ in 0..arrival.gap {
                sim.step().map_err(TestCaseError::fail)?;
            }
        }
    }

    /// A request that is refused on arrival could not have started in time: the requests in
    /// flight and in the queue would have delayed it beyond its latest start.
    #[test]
    fn no_request_that_could_start_is_refused(arrivals in arrivals(Just(20_u8))) {
        let mut sim = QueueSim::new([1; 3], None);
        for arrival in arrivals {
            let timeout = ms(u64::from(arrival.timeout));
            let (at, ahead) = (sim.single.now, sim.waiting.len());
            let mut ends: Vec<_> = sim.running.iter().map(|(end, _)| *end).collect();
            if sim.send(0, timeout, RUN_TIME).is_some() && ahead < 32 {
                ends.sort();
                let rounds = u32::try_from(ahead / ends.len()).expect("small");
                let start = ends[ahead % ends.len()] + RUN_TIME * rounds;
                prop_assert!(start + RUN_TIME > at + timeout, "could start after {:?}", start - at);
            }
            for _ in 0..arrival.gap {
                sim.step().map_err(TestCaseError::fail)?;
            }
        }
    }
}

#[test]
fn a_cancelled_request_neither_starts_nor_counts() {
    let mut sim = QueueSim::new([1; 3], None);
    for _ in 0..SLOTS + 2 {
        sim.send(0, ms(300), RUN_TIME);
    }
    let tickets: Vec<_> = sim.waiting.keys().copied().collect();
    assert_eq!(tickets.len(), 2);
    assert!(sim.single.router.cancel(tickets[0]));
    assert!(!sim.single.router.cancel(tickets[0]));
    sim.waiting.remove(&tickets[0]);
    for _ in 0..100 {
        sim.step().unwrap();
    }
    assert_eq!(sim.starts[0], SLOTS + 1);
    assert!(!sim.single.router.cancel(tickets[1]), "it has started");
}
