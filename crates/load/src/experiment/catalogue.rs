//! The list of experiments.

use std::time::Duration;

use super::Act;
use crate::arrivals::Profile;
use crate::deployment::Layout;

/// An experiment: a load, and acts while it runs.
#[derive(Debug)]
pub struct Experiment {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// The load.
    pub(crate) profile: fn() -> Profile,
    /// The acts, in order.
    pub(crate) acts: fn(&Layout) -> Vec<(Duration, Act)>,
}

const SURGING_TEAM: usize = 2;
const SURGE_FACTOR: f64 = 5.0;
const WITHDRAWN_TEAM: usize = 1;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn steady() -> Profile {
    Profile::steady(secs(12))
}

fn surge() -> Profile {
    Profile {
        surge: Some((SURGING_TEAM, SURGE_FACTOR)),
        ..steady()
    }
}

fn first(layout: &Layout, service: usize) -> String {
    layout.endpoint(&layout.services[service], 0).0
}

fn host(layout: &Layout, index: usize) -> String {
    layout.host_names()[index].0.clone()
}

const CATALOGUE: &[Experiment] = &[
    Experiment {
        name: "steady",
        about: "half load, nothing happens",
        profile: steady,
        acts: |_| Vec::new(),
    },
    Experiment {
        name: "surge",
        about: "one team sends five times its rate",
        profile: surge,
        acts: |_| Vec::new(),
    },
    Experiment {
        name: "store-out",
        about: "the platform is down for 6 s",
        profile: steady,
        acts: |_| {
            vec![
                (secs(3), Act::StoreDown(true)),
                (secs(9), Act::StoreDown(false)),
            ]
        },
    },
    Experiment {
        name: "store-slow",
        about: "every call to the platform takes 800 ms longer",
        profile: steady,
        acts: |_| vec![(secs(3), Act::StoreSlow(800)), (secs(9), Act::StoreSlow(0))],
    },
    Experiment {
        name: "zone-cut",
        about: "a zone is cut off for 6 s",
        profile: steady,
        acts: |layout| vec![(secs(3), Act::Cut(layout.zone(3))), (secs(9), Act::Heal)],
    },
    Experiment {
        name: "region-loss",
        about: "every host and endpoint of a region dies",
        profile: steady,
        acts: |_| vec![(secs(4), Act::Lose(2))],
    },
    Experiment {
        name: "drain",
        about: "an operator drains an endpoint, and another one says that it leaves",
        profile: steady,
        acts: |layout| {
            vec![
                (secs(3), Act::Drain(first(layout, 0))),
                (secs(5), Act::Leave(first(layout, 1))),
            ]
        },
    },
    Experiment {
        name: "move",
        about: "an operator moves 40 % of a service's traffic to another region",
        profile: steady,
        acts: |layout| {
            let (service, regions) = (layout.services[0].name, layout.regions);
            vec![(
                secs(3),
                Act::Move(service, regions[0], regions[1], 40, 50, 4),
            )]
        },
    },
    Experiment {
        name: "host-restart",
        about: "a host stops gracefully, another one is killed",
        profile: steady,
        acts: |layout| {
            vec![
                (secs(2), Act::Stop(host(layout, 0))),
                (secs(7), Act::Kill(host(layout, 2))),
            ]
        },
    },
    Experiment {
        name: "host-stop",
        about: "a host stops gracefully, and no request is cut",
        profile: steady,
        acts: |layout| vec![(secs(3), Act::Stop(host(layout, 0)))],
    },
    Experiment {
        name: "key-withdraw",
        about: "an operator withdraws the key of a team that goes on calling",
        profile: steady,
        acts: |_| vec![(secs(4), Act::Withdraw(WITHDRAWN_TEAM))],
    },
    Experiment {
        name: "misleading-reports",
        about: "every third endpoint of a service is slow and reports itself as idle",
        profile: steady,
        acts: |layout| vec![(secs(3), Act::Mislead(layout.services[0].name))],
    },
];

/// Every experiment.
pub fn catalogue() -> &'static [Experiment] {
    CATALOGUE
}

/// The experiment of a name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    CATALOGUE.iter().find(|e| e.name == name)
}
