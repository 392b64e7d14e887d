//! The two deployments that experiments use, with their topology, services and teams.

mod records;

use std::time::Duration;

use derive_more::Display;
use wagtail_types::{ParseError, Rate, Tokens};

use crate::mix::{self, Mix};

pub(crate) use records::raw;

/// Selects a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Deployment {
    /// Registration dossiers: three regions, few large teams; the worst-served team matters most.
    #[display("tender")]
    Tender,
    /// Emergency call-out: three regions; lookup latency matters most.
    #[display("annex")]
    Annex,
}

impl std::str::FromStr for Deployment {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "tender" => Ok(Self::Tender),
            "annex" => Ok(Self::Annex),
            _ => Err(ParseError::new(
                "deployment",
                text,
                "tender or annex was expected",
            )),
        }
    }
}

/// A service with its endpoints and its load.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name of the service.
    pub name: &'static str,
    /// The request class of the service.
    pub class: &'static str,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The weight of the class.
    pub weight: u32,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The slots of each endpoint.
    pub slots: usize,
    /// The connections that each endpoint accepts.
    pub connections: usize,
    /// The median service time.
    pub median: Duration,
    /// Requests per second at full load.
    pub load: f64,
    /// The size of an answer in bytes.
    pub answer: usize,
}

/// A team with its limits and its share of the load.
#[derive(Debug, Clone)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// The share of every service's load, from 0 to 1.
    pub share: f64,
    /// The index of the region of its callers.
    pub home_region: usize,
    /// The rate limit over all hosts.
    pub rate: Rate,
    /// The burst limit over all hosts.
    pub burst: Tokens,
}

impl Team {
    /// Returns the key of the team, which no endpoint may see.
    pub fn key(&self) -> String {
        format!("key-of-{}-0123456789abcdef", self.name)
    }
}

/// The topology, services and teams of a deployment.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The regions; the platform is in the first one.
    pub regions: [&'static str; 3],
    /// The number of entry hosts in each zone, with two zones in each region.
    pub hosts: [usize; 6],
    /// The one-way delay between zones of a region.
    pub zone_delay: Duration,
    /// The one-way delay between regions.
    pub region_delay: Duration,
    /// The services, one for each class.
    pub services: Vec<Service>,
    /// The teams; tests and events refer to them by index.
    pub teams: Vec<Team>,
}

impl Deployment {
    /// Returns the layout of the deployment.
    pub fn layout(self) -> Layout {
        match self {
            Self::Tender => tender(),
            Self::Annex => annex(),
        }
    }
}

fn tender() -> Layout {
    let service = |name, class, idempotent, weight| Service {
        name,
        class,
        idempotent,
        weight,
        endpoints: 12,
        slots: 3,
        connections: 300,
        median: Duration::from_millis(60),
        load: 240.0,
        answer: 512,
    };
    Layout {
        regions: ["cymru", "eire", "benelux"],
        hosts: [2, 2, 2, 2, 1, 1],
        zone_delay: Duration::from_micros(1_500),
        region_delay: Duration::from_millis(10),
        services: vec![
            service("substances", "lookup", true, 4),
            Service {
                median: Duration::from_millis(120),
                load: 80.0,
                ..service("dossiers", "submission", false, 2)
            },
            Service {
                endpoints: 15,
                slots: 6,
                median: Duration::from_millis(150),
                load: 120.0,
                answer: 16_384,
                ..service("archive", "archive", true, 1)
            },
        ],
        teams: teams(&[
            "aber-lead",
            "bangor",
            "conwy",
            "dublin",
            "gent",
            "harlech",
            "leuven",
            "tywyn",
        ]),
    }
}

fn annex() -> Layout {
    let service = |name, class, idempotent, weight| Service {
        name,
        class,
        idempotent,
        weight,
        endpoints: 12,
        slots: 3,
        connections: 400,
        median: Duration::from_millis(50),
        load: 280.0,
        answer: 256,
    };
    Layout {
        regions: ["gulf", "plains", "hill"],
        hosts: [2, 2, 2, 2, 1, 2],
        zone_delay: Duration::from_micros(500),
        region_delay: Duration::from_millis(20),
        services: vec![
            service("rosters", "lookup", true, 4),
            Service {
                median: Duration::from_millis(100),
                load: 100.0,
                ..service("assignments", "assignment", false, 3)
            },
            Service {
                endpoints: 20,
                slots: 4,
                median: Duration::from_millis(120),
                load: 120.0,
                answer: 8_192,
                ..service("records", "record", true, 1)
            },
        ],
        teams: teams(&[
            "abilene",
            "bryan",
            "crockett",
            "denton",
            "elgin",
            "frisco",
            "galveston",
            "hondo",
        ]),
    }
}

/// Returns eight teams: two large ones, the last one tiny.
fn teams(names: &[&'static str; 8]) -> Vec<Team> {
    const SHARES: [f64; 8] = [0.30, 0.25, 0.12, 0.10, 0.09, 0.08, 0.05, 0.01];
    /// Requests per second of all teams at full load, approximately.
    const FULL_LOAD: f64 = 450.0;
    /// The factor of a team's rate limit over its load.
    const HEADROOM: f64 = 1.2;
    /// Requests per second.
    const MIN_RATE: u64 = 2;
    let team = |(index, (&name, share)): (usize, (&&'static str, f64))| {
        let rate = to_whole(FULL_LOAD * share * HEADROOM).max(MIN_RATE);
        // Every second team has a burst of less than a second of its rate.
        let burst = if index % 2 == 0 { rate } else { rate / 4 };
        Team {
            name: name.to_owned(),
            share,
            home_region: index % 3,
            rate: Rate::per_second(rate),
            burst: Tokens::whole(burst.max(MIN_RATE + 1)),
        }
    };
    names.iter().zip(SHARES).enumerate().map(team).collect()
}

fn to_whole(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates here are small and positive"
    )]
    let whole = value.round() as u64;
    whole
}

impl Layout {
    /// Returns the name of a zone; zones are numbered through the regions, two in each.
    pub fn zone(&self, index: usize) -> String {
        let letter = if index.is_multiple_of(2) { 'a' } else { 'b' };
        format!("{}-{letter}", self.regions[index / 2 % self.regions.len()])
    }

    /// Returns the name and the zone of an endpoint.
    pub fn endpoint(&self, service: &Service, index: usize) -> (String, String) {
        let zones = self.hosts.len();
        (
            format!("{}-{index}", service.name),
            self.zone(index % zones),
        )
    }

    /// Returns the name and the zone of every entry host.
    pub fn host_names(&self) -> Vec<(String, String)> {
        let zones = self.hosts.iter().enumerate();
        let host = |zone: String, n: usize| (format!("{zone}{n}"), zone);
        zones
            .flat_map(|(z, &count)| (1..=count).map(move |n| (z, n)))
            .map(|(z, n)| host(self.zone(z), n))
            .collect()
    }

    /// Returns the one-way delay between two zones.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let region = |zone: &str| zone.rsplit_once('-').map(|(region, _)| region.to_owned());
        if from == to {
            Duration::ZERO
        } else if region(from) == region(to) {
            self.zone_delay
        } else {
            self.region_delay
        }
    }

    /// Returns the client address of a region's callers.
    pub fn client_addr(&self, region: usize) -> String {
        format!("198.51.{region}.7")
    }

    /// Returns the load of the deployment's callers.
    pub fn mix(&self) -> Mix {
        const DEADLINE: Duration = Duration::from_secs(2);
        let team = |team: &Team| mix::Team {
            name: team.name.clone(),
            key: team.key(),
            share: team.share,
            home_region: team.home_region,
            limit: Some(mix::Limit {
                rate: team.rate,
                burst: team.burst,
            }),
        };
        let class = |service: &Service| mix::Class {
            name: service.class.to_owned(),
            service: service.name.to_owned(),
            idempotent: service.idempotent,
            load: service.load,
        };
        Mix {
            teams: self.teams.iter().map(team).collect(),
            classes: self.services.iter().map(class).collect(),
            client_addrs: (0..self.regions.len())
                .map(|r| self.client_addr(r))
                .collect(),
            deadline: DEADLINE,
        }
    }
}
