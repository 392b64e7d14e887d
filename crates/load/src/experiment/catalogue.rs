//! The list of experiments.

use std::time::Duration;

use super::Event;
use crate::arrivals::Profile;
use crate::deployment::Layout;

/// Describes an experiment: a load and the events that are applied while it runs.
#[derive(Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// A one-line description.
    pub about: &'static str,
    /// Returns the load profile.
    pub(crate) profile: fn() -> Profile,
    /// Returns the events with their time after the start, in order.
    pub(crate) events: fn(&Layout) -> Vec<(Duration, Event)>,
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

fn first_endpoint(layout: &Layout, service: usize) -> String {
    layout.endpoint(&layout.services[service], 0).0
}

fn host_name(layout: &Layout, index: usize) -> String {
    layout.host_names()[index].0.clone()
}

const CATALOGUE: &[Experiment] = &[
    Experiment {
        name: "steady",
        about: "half load, nothing happens",
        profile: steady,
        events: |_| Vec::new(),
    },
    Experiment {
        name: "surge",
        about: "one team sends five times its rate",
        profile: surge,
        events: |_| Vec::new(),
    },
    Experiment {
        name: "store-out",
        about: "the platform is down for 6 s",
        profile: steady,
        events: |_| {
            vec![
                (secs(3), Event::StoreDown(true)),
                (secs(9), Event::StoreDown(false)),
            ]
        },
    },
    Experiment {
        name: "store-slow",
        about: "every call to the platform takes 800 ms longer",
        profile: steady,
        events: |_| {
            vec![
                (secs(3), Event::StoreSlow(800)),
                (secs(9), Event::StoreSlow(0)),
            ]
        },
    },
    Experiment {
        name: "zone-cut",
        about: "a zone is cut off for 6 s",
        profile: steady,
        events: |layout| {
            vec![
                (secs(3), Event::Cut(layout.zone(3))),
                (secs(9), Event::Heal),
            ]
        },
    },
    Experiment {
        name: "region-loss",
        about: "every host and endpoint of a region dies",
        profile: steady,
        events: |_| vec![(secs(4), Event::Lose(2))],
    },
    Experiment {
        name: "drain",
        about: "an operator drains an endpoint, and another one says that it leaves",
        profile: steady,
        events: |layout| {
            vec![
                (secs(3), Event::Drain(first_endpoint(layout, 0))),
                (secs(5), Event::Leave(first_endpoint(layout, 1))),
            ]
        },
    },
    Experiment {
        name: "move",
        about: "an operator moves 40 % of a service's traffic to another region",
        profile: steady,
        events: |layout| {
            let (service, regions) = (layout.services[0].name, layout.regions);
            vec![(
                secs(3),
                Event::Move(service, regions[0], regions[1], 40, 50, 4),
            )]
        },
    },
    Experiment {
        name: "host-restart",
        about: "a host stops gracefully, another one is killed",
        profile: steady,
        events: |layout| {
            vec![
                (secs(2), Event::Stop(host_name(layout, 0))),
                (secs(7), Event::Kill(host_name(layout, 2))),
            ]
        },
    },
    Experiment {
        name: "host-stop",
        about: "a host stops gracefully, and no request is cut",
        profile: steady,
        events: |layout| vec![(secs(3), Event::Stop(host_name(layout, 0)))],
    },
    Experiment {
        name: "key-withdraw",
        about: "an operator withdraws the key of a team that goes on calling",
        profile: steady,
        events: |_| vec![(secs(4), Event::Withdraw(WITHDRAWN_TEAM))],
    },
    Experiment {
        name: "misleading-reports",
        about: "every third endpoint of a service is slow and reports itself as idle",
        profile: steady,
        events: |layout| vec![(secs(3), Event::Mislead(layout.services[0].name))],
    },
];

/// Returns every experiment.
pub fn catalogue() -> &'static [Experiment] {
    CATALOGUE
}

/// Returns the experiment with this name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    CATALOGUE.iter().find(|e| e.name == name)
}
