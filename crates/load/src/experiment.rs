//! Experiments: a deployment on loopback, a load, and what happens meanwhile.

mod acts;
mod catalogue;
mod command;
mod compare;

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde::{Deserialize, Serialize};
use slog::{Discard, Logger, o};
use wagtail_config::RawRecord;
use wagtail_entryd::{Options, Running};
use wagtail_standin::{endpoint, platform};

use crate::arrivals::arrivals;
use crate::callers::Callers;
use crate::client::Caller;
use crate::deployment::{Deployment, Layout};
use crate::fleet::{Fleet, FleetError};
use crate::measure::{Measures, measure};
use crate::network::Network;
use crate::promises::{Evidence, Promise, check};
use crate::served::{Served, served};

pub use acts::Act;
pub use catalogue::{Experiment, catalogue, find};
pub use command::{CommandError, command};
pub use compare::{Comparison, compare};

const FLAGS: &[(&str, &str)] = &[
    ("lookup-ttl", "1s"),
    ("stop-timeout", "8s"),
    ("lease-term", "2s"),
    ("key-staleness", "2s"),
];
const READY_WITHIN: Duration = Duration::from_secs(10);
const WARM_UP: Duration = Duration::from_secs(1);

/// What to run.
#[derive(Debug, Clone)]
pub struct Request {
    /// The experiment.
    pub experiment: &'static Experiment,
    /// The deployment.
    pub deployment: Deployment,
    /// The seed of arrivals, service times and hosts.
    pub seed: u64,
    /// Flags for every entry host, besides the defaults.
    pub flags: Vec<(String, String)>,
}

/// What came of it.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The experiment.
    pub experiment: &'static str,
    /// The deployment.
    pub deployment: String,
    /// The seed.
    pub seed: u64,
    /// The users' measures.
    pub measures: Measures,
    /// Where requests ran.
    pub served: Vec<Served>,
    /// What happened when.
    pub notes: Vec<String>,
    /// The promises.
    pub promises: Vec<Promise>,
}

impl Report {
    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.promises.iter().all(|p| p.broken == 0)
    }
}

/// Runs one experiment.
///
/// # Errors
///
/// Fails where the deployment cannot be set up, or a host cannot stop as it should.
pub async fn run(request: &Request) -> Result<Report, FleetError> {
    let layout = Arc::new(request.deployment.layout());
    let network = Network::new(layout.clone());
    let fleet = start(&layout, &network, request.seed, &request.flags, Vec::new()).await?;
    let callers = Callers::new(
        layout.mix(),
        fleet.hosts.values().map(Running::addr).collect(),
    );
    callers.look().await;
    let ready = ready(&layout, &fleet).await;
    tokio::time::sleep(WARM_UP).await;

    let profile = (request.experiment.profile)();
    let due = arrivals(&layout.mix(), &profile, request.seed);
    let start = Instant::now();
    let mut stage = acts::Stage::new(layout.clone(), network, fleet, start);
    stage.note(&match ready {
        Some(after) => format!("every slot has its host after {:.2} s", after.as_secs_f64()),
        None => "not every slot has its host".to_owned(),
    });
    let acts = (request.experiment.acts)(&layout);
    let samples = tokio::select! {
        (samples, acted) = async {
            tokio::join!(callers.send(due, start.into()), stage.play(acts))
        } => {
            acted?;
            samples
        }
        () = callers.keep_looking() => Vec::new(),
    };
    let (evidence, notes) = stage.end().await?;
    Ok(report(request, &layout, &samples, &evidence, notes))
}

#[derive(Debug, Deserialize)]
struct Status {
    headroom: Vec<Slots>,
}

#[derive(Debug, Deserialize)]
struct Slots {
    slots: usize,
}

/// Waits until the hosts together hold every slot, and tells how long that took.
pub(crate) async fn ready(layout: &Layout, fleet: &Fleet) -> Option<Duration> {
    const PAUSE: Duration = Duration::from_millis(50);
    let all: usize = layout.services.iter().map(|s| s.endpoints * s.slots).sum();
    let caller = Caller::new("ready");
    let begun = Instant::now();
    while begun.elapsed() < READY_WITHIN {
        let mut held = 0;
        for host in fleet.hosts.values() {
            let status = caller
                .json::<Status>(Method::GET, host.ops_addr(), "/v1/status")
                .await;
            held += status.map_or(0, |s| s.headroom.iter().map(|h| h.slots).sum());
        }
        if held >= all {
            return Some(begun.elapsed());
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

fn report(
    request: &Request,
    layout: &Layout,
    samples: &[crate::measure::Sample],
    evidence: &Evidence,
    notes: Vec<String>,
) -> Report {
    Report {
        experiment: request.experiment.name,
        deployment: request.deployment.to_string(),
        seed: request.seed,
        measures: measure(&layout.mix(), samples),
        served: served(layout, samples, evidence),
        notes,
        promises: check(layout, samples, evidence),
    }
}

pub(crate) async fn start(
    layout: &Arc<Layout>,
    network: &Network,
    seed: u64,
    flags: &[(String, String)],
    more: Vec<RawRecord>,
) -> Result<Fleet, FleetError> {
    let platform = platform::start((std::net::Ipv4Addr::LOCALHOST, 0).into()).await?;
    let addr = platform.addr;
    let log = Logger::root(Discard, o!());
    let options = |host: &str| Options {
        platform: Some(network.platform(host, addr)),
        emulation: Some(network.lines(host)),
        ..Options::new(log.clone())
    };
    let own = flags.iter().map(|(n, v)| (n.as_str(), v.as_str()));
    let flags: Vec<_> = FLAGS.iter().copied().chain(own).collect();
    let endpoints = |name: &str, service: &str| endpoint_settings(layout, seed, name, service);
    let records = [layout.records(), more].concat();
    Fleet::start_on(platform, records, &endpoints, &options, &flags).await
}

fn endpoint_settings(layout: &Layout, seed: u64, name: &str, service: &str) -> endpoint::Settings {
    const SIGMA: f64 = 0.4;
    let mut settings = endpoint::Settings {
        seed: name
            .bytes()
            .fold(seed, |seed, b| seed.wrapping_mul(31).wrapping_add(b.into())),
        sigma: SIGMA,
        ..endpoint::Settings::default()
    };
    if let Some(spec) = layout.services.iter().find(|s| s.name == service) {
        settings.median = spec.median;
        settings.answer_bytes = spec.answer;
        settings.connections = spec.connections;
    }
    settings
}
