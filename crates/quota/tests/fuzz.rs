//! Stateful fuzzing of several hosts against one central bucket per team.
//!
//! Guards against a team being admitted beyond its fleet-wide limit under clock drift, partitions,
//! crashes, lost table answers and limit changes. Each deliberate fault must be detected.

#[path = "support/oracle.rs"]
mod oracle;
#[path = "support/simulation.rs"]
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::Rng;
use wagtail_quota::{Mutant, Settings};
use wagtail_types::{Share, Tokens};

use oracle::Oracle;
use simulation::{Faults, MS, SECOND, Simulation};

const CASES: u32 = 48;
const SEED: u64 = 4;
const HOSTS: usize = 5;
const ZONES: [usize; HOSTS] = [0, 0, 0, 1, 1];
const TEAMS: [(u64, u64); 3] = [(100, 20), (4, 60), (2, 3)];
/// Bounds on clock drift, in millionths; each run uses one.
const DRIFTS_PPM: [u32; 2] = [10_000, 100_000];

#[derive(Debug, Clone)]
enum Op {
    Run {
        ms: u64,
        load: u8,
    },
    Idle {
        ms: u64,
    },
    Pause {
        host: usize,
        ms: u64,
    },
    Crash {
        host: usize,
    },
    Boot {
        host: usize,
    },
    Release {
        host: usize,
    },
    Partition {
        host: usize,
        partition: u32,
    },
    Heal,
    TableOutage {
        down: bool,
    },
    LinkFaults {
        loss: u32,
        duplicate: u32,
        delay: u64,
    },
    TableFaults {
        lost: u32,
        stale: u32,
        delay: u64,
    },
    ChangeLimit {
        team: usize,
        rate: u64,
        burst: u64,
    },
    Configure {
        host: usize,
    },
    /// Partitions a host off for longer than a lease term while every host spends.
    Isolate {
        host: usize,
    },
    /// Cuts a host off from the table for longer than a lease term while every host spends.
    CutTable {
        host: usize,
    },
    /// Releases a host's full shards while table answers are lost.
    HandOver {
        host: usize,
        lost: u32,
    },
}

/// Faults that a plan consists of.
#[derive(Debug, Clone, Copy)]
enum Focus {
    All,
    Links,
    Leases,
    Lenders,
    Releases,
    Changes,
}

fn op(focus: Focus) -> BoxedStrategy<Op> {
    let host = || 0..HOSTS;
    let run = (20..3000u64, 2..4u8).prop_map(|(ms, load)| Op::Run { ms, load });
    let idle = (500..4000u64).prop_map(|ms| Op::Idle { ms });
    let pause = (host(), 50..9000u64).prop_map(|(host, ms)| Op::Pause { host, ms });
    let link =
        (0..200u32, 0..400u32, 0..600u64).prop_map(|(loss, duplicate, delay)| Op::LinkFaults {
            loss,
            duplicate,
            delay,
        });
    let isolate = host().prop_map(|host| Op::Isolate { host });
    let skewed = (500..2500u64).prop_map(|ms| Op::Run { ms, load: 1 });
    let cut_table = host().prop_map(|host| Op::CutTable { host });
    let hand_over = (host(), 0..1000u32).prop_map(|(host, lost)| Op::HandOver { host, lost });
    let boot = host().prop_map(|host| Op::Boot { host });
    let change = (0..TEAMS.len(), 1..80u64, 1..60u64)
        .prop_map(|(team, rate, burst)| Op::ChangeLimit { team, rate, burst });
    let configure = host().prop_map(|host| Op::Configure { host });
    match focus {
        Focus::All => any_op(),
        Focus::Links => prop_oneof![3 => run, 3 => skewed, 2 => link, 1 => idle].boxed(),
        Focus::Leases => {
            prop_oneof![2 => run, 2 => cut_table, 2 => isolate, 1 => Just(Op::Heal), 1 => pause]
                .boxed()
        }
        Focus::Lenders => prop_oneof![3 => skewed, 1 => isolate, 1 => Just(Op::Heal)].boxed(),
        Focus::Releases => prop_oneof![1 => run, 2 => hand_over, 1 => boot].boxed(),
        Focus::Changes => prop_oneof![2 => run, 1 => change, 4 => configure].boxed(),
    }
}

fn any_op() -> BoxedStrategy<Op> {
    let host = || 0..HOSTS;
    prop_oneof![
        8 => (20..3000u64, 0..4u8).prop_map(|(ms, load)| Op::Run { ms, load }),
        2 => (500..9000u64).prop_map(|ms| Op::Idle { ms }),
        2 => (host(), 50..12_000u64).prop_map(|(host, ms)| Op::Pause { host, ms }),
        1 => host().prop_map(|host| Op::Crash { host }),
        2 => host().prop_map(|host| Op::Boot { host }),
        1 => host().prop_map(|host| Op::Release { host }),
        2 => (host(), 0..3u32).prop_map(|(host, partition)| Op::Partition { host, partition }),
        1 => Just(Op::Heal),
        1 => any::<bool>().prop_map(|down| Op::TableOutage { down }),
        1 => (0..300u32, 0..400u32, 0..400u64)
            .prop_map(|(loss, duplicate, delay)| Op::LinkFaults { loss, duplicate, delay }),
        1 => (0..400u32, 0..300u32, 0..4000u64)
            .prop_map(|(lost, stale, delay)| Op::TableFaults { lost, stale, delay }),
        2 => (0..TEAMS.len(), 1..80u64, 1..60u64)
            .prop_map(|(team, rate, burst)| Op::ChangeLimit { team, rate, burst }),
        3 => host().prop_map(|host| Op::Configure { host }),
        1 => host().prop_map(|host| Op::Isolate { host }),
        1 => host().prop_map(|host| Op::CutTable { host }),
        1 => (host(), 0..1000u32).prop_map(|(host, lost)| Op::HandOver { host, lost }),
    ]
    .boxed()
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    drift_bound: u32,
    drifts: Vec<i32>,
    ops: Vec<Op>,
}

fn plan(focus: Focus) -> impl Strategy<Value = Plan> {
    let ops = prop::collection::vec(op(focus), 5..60);
    let drifts = prop::sample::select(&DRIFTS_PPM[..]).prop_flat_map(|drift_bound| {
        let max_ppm = i32::try_from(drift_bound).unwrap();
        let ppm = prop_oneof![Just(-max_ppm), Just(max_ppm), -max_ppm..max_ppm];
        (Just(drift_bound), prop::collection::vec(ppm, HOSTS))
    });
    (any::<u64>(), drifts, ops).prop_map(|(seed, (drift_bound, drifts), ops)| Plan {
        seed,
        drift_bound,
        drifts,
        ops,
    })
}

struct FuzzRun {
    sim: Simulation,
    oracle: Oracle,
}

impl FuzzRun {
    fn new(plan: &Plan, mutant: Option<Mutant>) -> Self {
        let drift = Share::from_ppm(plan.drift_bound).unwrap();
        let adjust_settings = move |settings: &mut Settings| {
            settings.drift = drift;
            settings.min_allocation = Tokens::whole(4);
            settings.min_loan = Tokens::ONE;
            settings.mutant = mutant;
            settings.outage_term = std::time::Duration::from_secs(20);
        };
        let mut sim = Simulation::new(&ZONES, 2, &TEAMS, plan.seed, adjust_settings);
        for (host, ppm) in plan.drifts.iter().enumerate() {
            sim.set_drift(host, *ppm);
        }
        Self {
            sim,
            oracle: Oracle::default(),
        }
    }

    /// Runs under load: hosts send up to 30 requests per team and step, until one has to wait.
    ///
    /// The load is 0 for one request per host and step, 1 for the first two hosts only, 2 for hosts
    /// chosen at random, and 3 for all hosts.
    fn run_load(&mut self, ms: u64, load: u8) -> Result<(), String> {
        let end = self.sim.now + ms * MS;
        while self.sim.now < end {
            let pause = self.sim.rng.random_range(1..60) * MS;
            self.sim.run_until((self.sim.now + pause).min(end));
            for host in 0..HOSTS {
                let requests = match load {
                    0 => 1,
                    1 if host > 1 => 0,
                    2 if self.sim.rng.random() => 0,
                    _ => 30,
                };
                self.send_requests(host, requests);
            }
            self.oracle.check(&self.sim)?;
        }
        Ok(())
    }

    fn send_requests(&mut self, host: usize, requests: usize) {
        for team in 0..TEAMS.len() {
            for _ in 0..requests {
                let granted = wagtail_quota::Admission::Granted;
                if self.sim.admit(host, team, 200 * MS) != Some(granted) {
                    break;
                }
            }
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        let sim = &mut self.sim;
        match *op {
            Op::Run { ms, load } => self.run_load(ms, load)?,
            Op::Idle { ms } => sim.run_until(sim.now + ms * MS),
            Op::Pause { host, ms } => sim.hosts[host].paused_until = sim.now + ms * MS,
            Op::Crash { host } => {
                sim.crash(host);
                (0..HOSTS).for_each(|h| sim.update_peers(h));
            }
            Op::Boot { host } => sim.boot(host),
            Op::Release { host } => sim.release(host),
            Op::Partition { host, partition } => sim.hosts[host].partition = partition,
            Op::Heal => {
                sim.hosts.iter_mut().for_each(|h| h.partition = 0);
                sim.faults = Faults::default();
            }
            Op::TableOutage { down } => sim.faults.table_down = down,
            Op::LinkFaults {
                loss,
                duplicate,
                delay,
            } => {
                sim.faults = Faults {
                    loss,
                    duplicate,
                    delay: delay * MS,
                    ..sim.faults.clone()
                };
            }
            Op::TableFaults { lost, stale, delay } => {
                sim.faults = Faults {
                    lost_answer: lost,
                    stale_read: stale,
                    table_delay: delay * MS,
                    ..sim.faults.clone()
                };
            }
            Op::Isolate { host } => {
                sim.hosts[host].partition = 3;
                self.run_load(10 * SECOND / MS, 3)?;
            }
            Op::CutTable { host } => {
                sim.hosts[host].table_cut = true;
                self.run_load(10 * SECOND / MS, 3)?;
                self.sim.hosts[host].table_cut = false;
            }
            Op::HandOver { host, lost } => {
                sim.run_until(sim.now + 4 * SECOND);
                sim.faults.lost_answer = lost;
                sim.release(host);
                self.oracle.check(&self.sim)?;
                self.run_load(3 * SECOND / MS, 3)?;
            }
            Op::ChangeLimit { team, rate, burst } => sim.change_limit(team, rate, burst),
            Op::Configure { host } => sim.configure(host),
        }
        self.oracle.check(&self.sim)
    }

    fn execute(plan: &Plan, mutant: Option<Mutant>) -> Result<(), String> {
        let mut run = Self::new(plan, mutant);
        run.run_load(2 * SECOND / MS, 3)?;
        for op in &plan.ops {
            run.apply(op)?;
        }
        run.run_load(10 * SECOND / MS, 3)
    }
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(CASES)
}

#[test]
fn no_team_exceeds_its_limit() {
    let outcome = runner(cases()).run(&plan(Focus::All), |plan| {
        FuzzRun::execute(&plan, None).map_err(TestCaseError::fail)
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Number of cases within which each mutant must be detected.
const MUTANT_CASES: u32 = 400;

fn assert_detected(mutant: Mutant, focus: Focus) {
    let config = Config {
        max_shrink_iters: 0,
        ..runner(MUTANT_CASES).config().clone()
    };
    let outcome = TestRunner::new(config).run(&plan(focus), |plan| {
        FuzzRun::execute(&plan, Some(mutant)).map_err(TestCaseError::fail)
    });
    assert!(
        outcome.is_err(),
        "{mutant:?} was not detected in {MUTANT_CASES} cases"
    );
}

macro_rules! detects {
    ($($name:ident: $mutant:ident in $focus:ident,)*) => {
        $(#[test] fn $name() { assert_detected(Mutant::$mutant, Focus::$focus); })*
    };
}

detects! {
    finds_ignored_margin: IgnoreMargin in Leases,
    finds_ignored_drift: IgnoreDrift in All,
    finds_late_credit: LateCredit in Links,
    finds_full_after_expiry: FullAfterExpiry in Leases,
    finds_spending_after_expiry: SpendExpired in Leases,
    finds_missing_debit: NoDebit in All,
    finds_double_credit: CreditTwice in All,
    finds_unknown_taken_as_failure: UnknownIsFailure in Releases,
    finds_broken_promise: BreakPromise in Leases,
    finds_double_return: ReturnTwice in All,
    finds_loan_outliving_lease: LoanOutlivesLease in Lenders,
    finds_unconfirmed_spread: UnconfirmedSpread in Changes,
}
