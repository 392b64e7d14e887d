//! Stateful fuzzing of a fleet of 12 hosts in 6 zones against its invariants.
//!
//! Random sequences of crashes, pauses, network partitions, message loss and table outages run in
//! virtual time. `PROPTEST_CASES` sets the number of trials.

mod net;

use std::collections::HashMap;
use std::time::Duration;

use net::{Net, mode_label};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use wagtail_member::{Input, Mutant, Settings, State};
use wagtail_types::Incarnation;

const SEED: u64 = 30;
const HOSTS: usize = 12;
const ZONES: usize = 6;
/// Time within which a host wrongly declared dead, or cut off, is known as alive again.
const REJOIN: Duration = Duration::from_secs(12);

#[derive(Debug, Clone)]
enum Op {
    Crash {
        host: usize,
    },
    Start {
        host: usize,
    },
    Pause {
        host: usize,
        seconds: u64,
    },
    Leave {
        host: usize,
    },
    Partition {
        partitions: [u8; ZONES],
    },
    Heal,
    Loss {
        percent: u32,
    },
    Table {
        zones: [bool; ZONES],
    },
    Commit,
    Wait {
        millis: u64,
    },
    /// Waits until the fleet has settled and checks host states and modes.
    Settle,
    /// Settles without network faults, stops a host, and checks that every other host declares it
    /// dead within the failure-detection timeout.
    Detect {
        host: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..HOSTS;
    let table = prop_oneof![
        Just([false; ZONES]),
        Just([true; ZONES]),
        any::<[bool; ZONES]>()
    ];
    prop_oneof![
        3 => host.clone().prop_map(|host| Op::Crash { host }),
        3 => host.clone().prop_map(|host| Op::Start { host }),
        2 => (host.clone(), 1u64..15).prop_map(|(host, seconds)| Op::Pause { host, seconds }),
        1 => host.prop_map(|host| Op::Leave { host }),
        2 => prop::array::uniform6(0u8..2).prop_map(|partitions| Op::Partition { partitions }),
        1 => Just(Op::Heal),
        1 => (0u32..6).prop_map(|percent| Op::Loss { percent }),
        2 => table.prop_map(|zones| Op::Table { zones }),
        3 => Just(Op::Commit),
        4 => (0u64..4000).prop_map(|millis| Op::Wait { millis }),
        2 => Just(Op::Settle),
        1 => (0..HOSTS).prop_map(|host| Op::Detect { host }),
    ]
}

type CheckResult = Result<(), String>;

struct Trial {
    net: Net,
    max_incarnations: HashMap<(usize, Incarnation, usize), Incarnation>,
}

impl Trial {
    fn new(mutant: Option<Mutant>) -> Self {
        let net = Net::new(HOSTS, ZONES, 2, 7, mutant);
        let max_incarnations = HashMap::new();
        Self {
            net,
            max_incarnations,
        }
    }

    fn apply(&mut self, op: &Op) -> CheckResult {
        let net = &mut self.net;
        match *op {
            Op::Crash { host } => net.stop(host),
            Op::Start { host } => net.start(host),
            Op::Pause { host, seconds } if net.is_up(host) => {
                net.nodes[host].paused_until = Some(net.now + Duration::from_secs(seconds));
                let before = net.nodes[host].pauses;
                if seconds > 4 {
                    self.run_through_pause(host, before)?;
                }
            }
            Op::Pause { .. } => {}
            Op::Leave { host } => net.input(host, Input::Leave),
            Op::Partition { partitions } => net.partitions = partitions.to_vec(),
            Op::Heal => net.partitions = vec![0; ZONES],
            Op::Loss { percent } => net.loss_percent = percent,
            Op::Table { zones } => net.table_reachable = zones.to_vec(),
            Op::Commit => net.commit(),
            Op::Wait { millis } => self.run(Duration::from_millis(millis))?,
            Op::Settle => self.settle()?,
            Op::Detect { host } => self.detect(host)?,
        }
        self.run(Duration::from_millis(50))
    }

    /// Runs to the end of a pause, with the table service unreachable, and checks that the host
    /// detected the pause and no longer considers its configuration fresh.
    fn run_through_pause(&mut self, host: usize, before: usize) -> CheckResult {
        let up = self.net.table_reachable.clone();
        self.net.table_reachable = vec![false; ZONES];
        let until = self.net.nodes[host].paused_until.unwrap_or(self.net.now);
        self.run(until.saturating_duration_since(self.net.now))?;
        let node = &self.net.nodes[host];
        let fresh = node
            .member
            .as_ref()
            .and_then(|member| member.freshness(self.net.now));
        self.net.table_reachable = up;
        if node.pauses == before || fresh.is_some() {
            return Err(format!(
                "host {host} still trusts its state from before a pause"
            ));
        }
        Ok(())
    }

    /// Runs in short steps and checks after each the invariants that hold at all times.
    fn run(&mut self, time: Duration) -> CheckResult {
        const STEP: Duration = Duration::from_millis(200);
        let end = self.net.now + time;
        while self.net.now < end {
            self.net.run(STEP.min(end - self.net.now));
            self.check_always()?;
        }
        Ok(())
    }

    fn check_always(&mut self) -> CheckResult {
        let net = &self.net;
        for (index, node) in net.nodes.iter().enumerate().filter(|(i, _)| net.is_up(*i)) {
            let Some(member) = &node.member else { continue };
            if let Some(age) = member.freshness(net.now) {
                // A commit at the very instant of a poll may come after the poll, so the head just
                // before that instant is compared.
                let at = net.now.checked_sub(age + Duration::from_nanos(1));
                let head = at.map(|at| net.head(at));
                let adopted = member.get(&node.info.host).map(|view| view.epoch);
                if adopted < head {
                    return Err(format!(
                        "host {index} claims a freshness of {age:?}, but its adopted epoch is older than the head at that time"
                    ));
                }
            }
            for (other, view) in member.members().enumerate() {
                let known = self
                    .max_incarnations
                    .entry((index, node.incarnation, other))
                    .or_default();
                if view.incarnation < *known {
                    return Err(format!(
                        "host {index} replaced the incarnation of host {other} by an older one"
                    ));
                }
                *known = view.incarnation;
            }
            let settings = Settings::new(node.info.clone(), Incarnation(0));
            if node.largest_message > settings.message_max {
                return Err(format!(
                    "a message of {} bytes exceeds the limit",
                    node.largest_message
                ));
            }
        }
        Ok(())
    }

    fn settle(&mut self) -> CheckResult {
        let settings = Settings::new(self.net.nodes[0].info.clone(), Incarnation(0));
        let wait = settings
            .detection_timeout(HOSTS)
            .max(settings.contact_timeout(HOSTS))
            + REJOIN;
        let wake = self
            .net
            .nodes
            .iter()
            .filter_map(|node| node.paused_until)
            .max();
        let sleep = wake.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(self.net.now)
        });
        self.run(sleep + wait)?;
        for index in (0..HOSTS).filter(|index| self.net.is_up(*index)) {
            self.check_states(index)?;
            self.check_mode(index)?;
        }
        Ok(())
    }

    fn detect(&mut self, host: usize) -> CheckResult {
        self.net.partitions = vec![0; ZONES];
        self.net.loss_percent = 0;
        self.settle()?;
        self.net.stop(host);
        let settings = Settings::new(self.net.nodes[0].info.clone(), Incarnation(0));
        self.run(settings.detection_timeout(HOSTS))?;
        let up = (0..HOSTS).filter(|index| self.net.is_up(*index));
        up.into_iter()
            .try_for_each(|index| self.check_states(index))
    }

    fn check_states(&self, index: usize) -> CheckResult {
        let net = &self.net;
        let Some(member) = &net.nodes[index].member else {
            return Ok(());
        };
        for other in (0..HOSTS).filter(|other| net.connected(index, *other)) {
            let known = member.get(&net.nodes[other].info.host);
            let state = known.map(|view| view.state);
            let up = net.is_up(other);
            let is_consistent = match state {
                Some(State::Dead) => !up,
                Some(State::Unknown) | None => false,
                Some(_) => {
                    up && known.is_some_and(|v| v.incarnation == net.nodes[other].incarnation)
                }
            };
            if !is_consistent {
                return Err(format!(
                    "host {index} considers host {other} {state:?}, but up is {up}"
                ));
            }
        }
        Ok(())
    }

    fn check_mode(&self, index: usize) -> CheckResult {
        let net = &self.net;
        let Some(member) = &net.nodes[index].member else {
            return Ok(());
        };
        let reachable = (0..HOSTS).filter(|i| net.is_up(*i) && net.connected(index, *i));
        let mut zones: Vec<usize> = reachable.map(|i| net.zone(i)).collect();
        zones.sort_unstable();
        zones.dedup();
        let want = if zones.iter().any(|zone| net.table_reachable[*zone]) {
            "current"
        } else if zones.len() * 2 > ZONES {
            "platform-out"
        } else {
            "cut-off"
        };
        let limit = Settings::new(net.nodes[0].info.clone(), Incarnation(0)).contact_timeout(HOSTS);
        let fresh = member.freshness(net.now).is_some_and(|age| age <= limit);
        let got = mode_label(member.mode());
        if got == want && fresh == (want == "current") {
            return Ok(());
        }
        Err(format!(
            "mode of host {index} is {got} instead of {want}; fresh: {fresh}, reachable zones: {zones:?}"
        ))
    }
}

fn config(cases: Option<u32>) -> Config {
    let defaults = Config::default();
    Config {
        cases: cases.unwrap_or(
            defaults
                .cases
                .min(if std::env::var("PROPTEST_CASES").is_ok() {
                    u32::MAX
                } else {
                    48
                }),
        ),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: if cases.is_some() { 0 } else { 64 },
        ..defaults
    }
}

fn trial(mutant: Option<Mutant>, ops: &[Op]) -> Result<(), TestCaseError> {
    let mut trial = Trial::new(mutant);
    let mut run = || {
        for op in ops {
            trial.apply(op)?;
        }
        trial.settle()
    };
    run().map_err(TestCaseError::fail)
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    prop::collection::vec(op(), 1..20)
}

#[test]
fn invariants_hold() {
    let result = TestRunner::new(config(None)).run(&ops(), |ops| trial(None, &ops));
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn mutants_are_detected() {
    const CASES: u32 = 200;
    let mutants = [
        Mutant::NeverDead,
        Mutant::NoRefute,
        Mutant::OldIncarnation,
        Mutant::NoGossip,
        Mutant::HalfIsMajority,
        Mutant::LocalContactOnly,
        Mutant::IgnorePause,
        Mutant::AnyEpoch,
    ];
    for mutant in mutants {
        let result =
            TestRunner::new(config(Some(CASES))).run(&ops(), |ops| trial(Some(mutant), &ops));
        assert!(
            matches!(result, Err(TestError::Fail(..))),
            "mutant {mutant:?} was not detected"
        );
    }
}
