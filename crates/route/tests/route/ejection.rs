//! No more than the maximum share of a service's slots is ejected at a time.
//!
//! Failures, reports, leaving endpoints and configuration changes could otherwise eject so many
//! endpoints together that the service loses its capacity.

use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use wagtail_route::{Health, Input, Lease, Mutant, Outcome, Placement, Report};
use wagtail_types::Share;

use crate::support::{SingleHost, config, id, ms, one_zone, settings};

const ENDPOINTS: u32 = 8;

#[derive(Debug, Clone, Copy)]
enum Op {
    Place,
    End(u8, u8),
    Wait(u16),
    Report(u8, u8, u8),
    Leave(u8),
    Resize(u32),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        8 => Just(Op::Place),
        8 => (any::<u8>(), 0..6_u8).prop_map(|(n, how)| Op::End(n, how)),
        4 => (1..900_u16).prop_map(Op::Wait),
        2 => (0..8_u8, 0..3_u8, any::<u8>()).prop_map(|(n, health, load)| Op::Report(n, health, load)),
        1 => (0..8_u8).prop_map(Op::Leave),
        1 => (1..9_u32).prop_map(Op::Resize),
    ];
    prop::collection::vec(op, 1..250)
}

struct EjectionSim {
    single: SingleHost,
    leases: Vec<Lease>,
    share: Share,
}

impl EjectionSim {
    fn new(mutant: Option<Mutant>) -> Self {
        let mut settings = settings("one", "a", "r").with_mutant(mutant);
        settings.pool.max_failures = 2;
        settings.pool.min_samples = 2;
        let share = settings.pool.max_ejected;
        Self {
            single: SingleHost::new(settings, one_zone(ENDPOINTS, 3)),
            leases: Vec::new(),
            share,
        }
    }

    fn apply(&mut self, op: Op) -> Result<(), String> {
        let now = self.single.now;
        match op {
            Op::Place => {
                if let Placement::Dispatch(lease) = self.single.place() {
                    self.leases.push(lease);
                }
            }
            Op::End(n, how) if !self.leases.is_empty() => {
                let lease = self.leases.swap_remove(usize::from(n) % self.leases.len());
                let outcome = match how {
                    0 | 1 => Outcome::Answered,
                    2 => Outcome::Refused,
                    3 => Outcome::Cancelled,
                    _ => Outcome::Failed,
                };
                self.single.router.finish(now, lease, outcome);
            }
            Op::Wait(time) => self.single.advance(ms(u64::from(time))),
            Op::Report(n, health, load) => self.report(n, health, load),
            Op::Leave(n) => {
                let leaving = Input::Leaving(id(&format!("e{n}")));
                self.single.router.handle(now, leaving);
            }
            Op::Resize(count) => {
                let topology = Input::Topology(one_zone(count, 3));
                self.single.router.handle(now, topology);
            }
            Op::End(..) => {}
        }
        self.leases.extend(
            self.single
                .effects()
                .into_iter()
                .filter_map(|effect| match effect {
                    wagtail_route::Effect::Start { lease, .. } => Some(lease),
                    _ => None,
                }),
        );
        self.check()
    }

    fn report(&mut self, n: u8, health: u8, load: u8) {
        let health = [Health::Serving, Health::Unhealthy, Health::Unhealthy][usize::from(health)];
        let report = Report {
            endpoint: id(&format!("e{n}")),
            health,
            load: Share::from_ppm(u32::from(load) * 3_900).expect("a share"),
            incarnation: 1,
            age: ms(u64::from(load)),
        };
        self.single
            .router
            .handle(self.single.now, Input::Report(report));
    }

    fn check(&self) -> Result<(), String> {
        let row = self.single.headroom();
        let most = self.share.of(u64::from(row.held));
        if u64::from(row.ejected) > most {
            return Err(format!("{} of {} slots ejected", row.ejected, row.held));
        }
        Ok(())
    }
}

fn search(cases: u32, mutant: Option<Mutant>) -> Result<(), TestError<Vec<Op>>> {
    TestRunner::new(config(cases)).run(&ops(), |ops| {
        let mut sim = EjectionSim::new(mutant);
        let mut all = ops.into_iter();
        all.try_for_each(|op| sim.apply(op))
            .map_err(TestCaseError::fail)
    })
}

#[test]
fn ejection_stays_within_its_share() {
    search(200, None).unwrap();
}

#[test]
fn the_oracle_detects_unlimited_ejection() {
    let found = search(200, Some(Mutant::EjectAll));
    assert!(matches!(found, Err(TestError::Fail(..))));
}
