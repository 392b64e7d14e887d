//! Stateful fuzzing of several hosts against one central bucket.

#[path = "fake/oracle.rs"]
mod oracle;
#[path = "fake/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::Rng;
use wagtail_quota::{Mutant, Settings};
use wagtail_types::{Share, Tokens};

use oracle::Oracle;
use world::{Faults, MS, SECOND, World};

const CASES: u32 = 48;
const SEED: u64 = 4;
const HOSTS: usize = 5;
const ZONES: [usize; HOSTS] = [0, 0, 0, 1, 1];
const TEAMS: [(u64, u64); 3] = [(100, 20), (4, 60), (2, 3)];
/// How far the clocks of a run may drift, in parts of a million.
const DRIFTS_PPM: [u32; 2] = [10_000, 100_000];

#[derive(Debug, Clone)]
enum Op {
    Run {
        ms: u64,
        greed: u8,
    },
    Quiet {
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
    Group {
        host: usize,
        group: u32,
    },
    Heal,
    Table {
        down: bool,
    },
    Link {
        loss: u32,
        repeat: u32,
        delay: u64,
    },
    Calls {
        lost: u32,
        stale: u32,
        delay: u64,
    },
    Change {
        team: usize,
        rate: u64,
        burst: u64,
    },
    Configure {
        host: usize,
    },
    /// Cuts a host off for longer than a lease while every host spends.
    Isolate {
        host: usize,
    },
    /// Takes a host's way to the table for longer than a lease while every host spends.
    Unplug {
        host: usize,
    },
    /// Releases a host's full shards while answers of the table are lost.
    HandOver {
        host: usize,
        lost: u32,
    },
}

/// Which faults a plan is made of.
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
    let run = (20..3000u64, 2..4u8).prop_map(|(ms, greed)| Op::Run { ms, greed });
    let quiet = (500..4000u64).prop_map(|ms| Op::Quiet { ms });
    let nap = (host(), 50..9000u64).prop_map(|(host, ms)| Op::Pause { host, ms });
    let link = (0..200u32, 0..400u32, 0..600u64).prop_map(|(loss, repeat, delay)| Op::Link {
        loss,
        repeat,
        delay,
    });
    let isolate = host().prop_map(|host| Op::Isolate { host });
    let skew = (500..2500u64).prop_map(|ms| Op::Run { ms, greed: 1 });
    let unplug = host().prop_map(|host| Op::Unplug { host });
    let hand_over = (host(), 0..1000u32).prop_map(|(host, lost)| Op::HandOver { host, lost });
    let boot = host().prop_map(|host| Op::Boot { host });
    let change = (0..TEAMS.len(), 1..80u64, 1..60u64).prop_map(|(team, rate, burst)| Op::Change {
        team,
        rate,
        burst,
    });
    let configure = host().prop_map(|host| Op::Configure { host });
    match focus {
        Focus::All => any_op(),
        Focus::Links => prop_oneof![3 => run, 3 => skew, 2 => link, 1 => quiet].boxed(),
        Focus::Leases => {
            prop_oneof![2 => run, 2 => unplug, 2 => isolate, 1 => Just(Op::Heal), 1 => nap].boxed()
        }
        Focus::Lenders => prop_oneof![3 => skew, 1 => isolate, 1 => Just(Op::Heal)].boxed(),
        Focus::Releases => prop_oneof![1 => run, 2 => hand_over, 1 => boot].boxed(),
        Focus::Changes => prop_oneof![2 => run, 1 => change, 4 => configure].boxed(),
    }
}

fn any_op() -> BoxedStrategy<Op> {
    let host = || 0..HOSTS;
    prop_oneof![
        8 => (20..3000u64, 0..4u8).prop_map(|(ms, greed)| Op::Run { ms, greed }),
        2 => (500..9000u64).prop_map(|ms| Op::Quiet { ms }),
        2 => (host(), 50..12_000u64).prop_map(|(host, ms)| Op::Pause { host, ms }),
        1 => host().prop_map(|host| Op::Crash { host }),
        2 => host().prop_map(|host| Op::Boot { host }),
        1 => host().prop_map(|host| Op::Release { host }),
        2 => (host(), 0..3u32).prop_map(|(host, group)| Op::Group { host, group }),
        1 => Just(Op::Heal),
        1 => any::<bool>().prop_map(|down| Op::Table { down }),
        1 => (0..300u32, 0..400u32, 0..400u64)
            .prop_map(|(loss, repeat, delay)| Op::Link { loss, repeat, delay }),
        1 => (0..400u32, 0..300u32, 0..4000u64)
            .prop_map(|(lost, stale, delay)| Op::Calls { lost, stale, delay }),
        2 => (0..TEAMS.len(), 1..80u64, 1..60u64)
            .prop_map(|(team, rate, burst)| Op::Change { team, rate, burst }),
        3 => host().prop_map(|host| Op::Configure { host }),
        1 => host().prop_map(|host| Op::Isolate { host }),
        1 => host().prop_map(|host| Op::Unplug { host }),
        1 => (host(), 0..1000u32).prop_map(|(host, lost)| Op::HandOver { host, lost }),
    ]
    .boxed()
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    bound: u32,
    drifts: Vec<i32>,
    ops: Vec<Op>,
}

fn plan(focus: Focus) -> impl Strategy<Value = Plan> {
    let ops = prop::collection::vec(op(focus), 5..60);
    let drifts = prop::sample::select(&DRIFTS_PPM[..]).prop_flat_map(|bound| {
        let most = i32::try_from(bound).unwrap();
        let ppm = prop_oneof![Just(-most), Just(most), -most..most];
        (Just(bound), prop::collection::vec(ppm, HOSTS))
    });
    (any::<u64>(), drifts, ops).prop_map(|(seed, (bound, drifts), ops)| Plan {
        seed,
        bound,
        drifts,
        ops,
    })
}

struct Run {
    world: World,
    oracle: Oracle,
}

impl Run {
    fn new(plan: &Plan, mutant: Option<Mutant>) -> Self {
        let drift = Share::from_ppm(plan.bound).unwrap();
        let tune = move |settings: &mut Settings| {
            settings.drift = drift;
            settings.min_part = Tokens::whole(4);
            settings.min_loan = Tokens::ONE;
            settings.mutant = mutant;
            settings.outage_term = std::time::Duration::from_secs(20);
        };
        let mut world = World::new(&ZONES, 2, &TEAMS, plan.seed, tune);
        for (host, ppm) in plan.drifts.iter().enumerate() {
            world.set_drift(host, *ppm);
        }
        Self {
            world,
            oracle: Oracle::default(),
        }
    }

    /// Runs for a while; hosts ask as often as they are granted, all of them or some.
    fn spend(&mut self, ms: u64, greed: u8) -> Result<(), String> {
        let end = self.world.now + ms * MS;
        while self.world.now < end {
            let pause = self.world.rng.random_range(1..60) * MS;
            self.world.run((self.world.now + pause).min(end));
            for host in 0..HOSTS {
                let asks = match greed {
                    0 => 1,
                    1 if host > 1 => 0,
                    2 if self.world.rng.random() => 0,
                    _ => 30,
                };
                self.demand(host, asks);
            }
            self.oracle.check(&self.world)?;
        }
        Ok(())
    }

    fn demand(&mut self, host: usize, asks: usize) {
        for team in 0..TEAMS.len() {
            for _ in 0..asks {
                let granted = wagtail_quota::Admission::Granted;
                if self.world.admit(host, team, 200 * MS) != Some(granted) {
                    break;
                }
            }
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        let world = &mut self.world;
        match *op {
            Op::Run { ms, greed } => self.spend(ms, greed)?,
            Op::Quiet { ms } => world.run(world.now + ms * MS),
            Op::Pause { host, ms } => world.hosts[host].paused = world.now + ms * MS,
            Op::Crash { host } => {
                world.crash(host);
                (0..HOSTS).for_each(|h| world.tell_peers(h));
            }
            Op::Boot { host } => world.boot(host),
            Op::Release { host } => world.release(host),
            Op::Group { host, group } => world.hosts[host].group = group,
            Op::Heal => {
                world.hosts.iter_mut().for_each(|h| h.group = 0);
                world.faults = Faults::default();
            }
            Op::Table { down } => world.faults.table_down = down,
            Op::Link {
                loss,
                repeat,
                delay,
            } => {
                world.faults = Faults {
                    loss,
                    repeat,
                    delay: delay * MS,
                    ..world.faults.clone()
                };
            }
            Op::Calls { lost, stale, delay } => {
                world.faults = Faults {
                    lost_answer: lost,
                    stale_read: stale,
                    table_delay: delay * MS,
                    ..world.faults.clone()
                };
            }
            Op::Isolate { host } => {
                world.hosts[host].group = 3;
                self.spend(10 * SECOND / MS, 3)?;
            }
            Op::Unplug { host } => {
                world.hosts[host].unplugged = true;
                self.spend(10 * SECOND / MS, 3)?;
                self.world.hosts[host].unplugged = false;
            }
            Op::HandOver { host, lost } => {
                world.run(world.now + 4 * SECOND);
                world.faults.lost_answer = lost;
                world.release(host);
                self.oracle.check(&self.world)?;
                self.spend(3 * SECOND / MS, 3)?;
            }
            Op::Change { team, rate, burst } => world.change(team, rate, burst),
            Op::Configure { host } => world.configure(host),
        }
        self.oracle.check(&self.world)
    }

    fn go(plan: &Plan, mutant: Option<Mutant>) -> Result<(), String> {
        let mut run = Self::new(plan, mutant);
        run.spend(2 * SECOND / MS, 3)?;
        for op in &plan.ops {
            run.apply(op)?;
        }
        run.spend(10 * SECOND / MS, 3)
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
fn no_team_passes_its_limit() {
    let outcome = runner(cases()).run(&plan(Focus::All), |plan| {
        Run::go(&plan, None).map_err(TestCaseError::fail)
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Cases within which each mutant must be found.
const MUTANT_CASES: u32 = 400;

fn assert_found(mutant: Mutant, focus: Focus) {
    let config = Config {
        max_shrink_iters: 0,
        ..runner(MUTANT_CASES).config().clone()
    };
    let outcome = TestRunner::new(config).run(&plan(focus), |plan| {
        Run::go(&plan, Some(mutant)).map_err(TestCaseError::fail)
    });
    assert!(
        outcome.is_err(),
        "{mutant:?} was not found in {MUTANT_CASES} cases"
    );
}

macro_rules! found {
    ($($name:ident: $mutant:ident in $focus:ident,)*) => {
        $(#[test] fn $name() { assert_found(Mutant::$mutant, Focus::$focus); })*
    };
}

found! {
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
    finds_hasty_spread: HastySpread in Changes,
}
