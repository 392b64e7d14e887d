//! Experiments: a deployment on loopback under load while scheduled events are applied to it.

mod catalogue;
mod command;
mod compare;
mod events;

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

pub use catalogue::{Experiment, catalogue, find};
pub use command::{CommandError, command};
pub use compare::{Comparison, compare};
pub use events::Event;

const HOST_FLAGS: &[(&str, &str)] = &[
    ("lookup-ttl", "1s"),
    ("stop-timeout", "8s"),
    ("lease-term", "2s"),
    ("key-staleness", "2s"),
];
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const WARM_UP: Duration = Duration::from_secs(1);

/// The parameters of one experiment run.
#[derive(Debug, Clone)]
pub struct Request {
    /// The experiment to run.
    pub experiment: &'static Experiment,
    /// The deployment to start.
    pub deployment: Deployment,
    /// The seed of arrivals, service times and hosts.
    pub seed: u64,
    /// Flags for every entry host, appended to those that the load tool sets.
    pub flags: Vec<(String, String)>,
}

/// The result of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The name of the deployment.
    pub deployment: String,
    /// The seed of arrivals, service times and hosts.
    pub seed: u64,
    /// Latency and outcomes as the callers saw them.
    pub measures: Measures,
    /// The regions in which requests ran.
    pub served: Vec<Served>,
    /// Events and observations with their time.
    pub notes: Vec<String>,
    /// The results of the promise checks.
    pub promises: Vec<Promise>,
}

impl Report {
    /// Returns whether every promise was kept.
    pub fn all_kept(&self) -> bool {
        self.promises.iter().all(|p| p.broken == 0)
    }
}

/// Runs one experiment.
///
/// # Errors
///
/// Returns an error if the deployment cannot be set up or a host does not stop cleanly.
pub async fn run(request: &Request) -> Result<Report, FleetError> {
    let layout = Arc::new(request.deployment.layout());
    let network = Network::new(layout.clone());
    let fleet = start_fleet(&layout, &network, request.seed, &request.flags, Vec::new()).await?;
    let callers = Callers::new(
        layout.mix(),
        fleet.hosts.values().map(Running::addr).collect(),
    );
    callers.refresh_hosts().await;
    let ready = wait_until_ready(&layout, &fleet).await;
    tokio::time::sleep(WARM_UP).await;

    let profile = (request.experiment.profile)();
    let due = arrivals(&layout.mix(), &profile, request.seed);
    let start = Instant::now();
    let mut runner = events::EventRunner::new(layout.clone(), network, fleet, start);
    runner.note(&match ready {
        Some(after) => format!("every slot has its host after {:.2} s", after.as_secs_f64()),
        None => "not every slot has its host".to_owned(),
    });
    let events = (request.experiment.events)(&layout);
    let samples = tokio::select! {
        (samples, applied) = async {
            tokio::join!(callers.send(due, start.into()), runner.run(events))
        } => {
            applied?;
            samples
        }
        () = callers.keep_refreshing_hosts() => Vec::new(),
    };
    let (evidence, notes) = runner.finish().await?;
    Ok(build_report(request, &layout, &samples, &evidence, notes))
}

#[derive(Debug, Deserialize)]
struct Status {
    headroom: Vec<Headroom>,
}

#[derive(Debug, Deserialize)]
struct Headroom {
    slots: usize,
}

/// Waits until the hosts together hold every slot and returns how long that took, or `None`
/// after the timeout.
pub(crate) async fn wait_until_ready(layout: &Layout, fleet: &Fleet) -> Option<Duration> {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let total: usize = layout.services.iter().map(|s| s.endpoints * s.slots).sum();
    let caller = Caller::new("ready");
    let begun = Instant::now();
    while begun.elapsed() < READY_TIMEOUT {
        let mut held = 0;
        for host in fleet.hosts.values() {
            let status = caller
                .json::<Status>(Method::GET, host.ops_addr(), "/v1/status")
                .await;
            held += status.map_or(0, |s| s.headroom.iter().map(|h| h.slots).sum());
        }
        if held >= total {
            return Some(begun.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

fn build_report(
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

/// Starts a deployment on loopback behind the emulated network.
pub(crate) async fn start_fleet(
    layout: &Arc<Layout>,
    network: &Network,
    seed: u64,
    flags: &[(String, String)],
    extra_records: Vec<RawRecord>,
) -> Result<Fleet, FleetError> {
    let platform = platform::start((std::net::Ipv4Addr::LOCALHOST, 0).into()).await?;
    let addr = platform.addr;
    let log = Logger::root(Discard, o!());
    let options = |host: &str| Options {
        platform: Some(network.platform(host, addr)),
        emulation: Some(network.link_emulation(host)),
        ..Options::new(log.clone())
    };
    let own = flags.iter().map(|(n, v)| (n.as_str(), v.as_str()));
    let flags: Vec<_> = HOST_FLAGS.iter().copied().chain(own).collect();
    let endpoints = |name: &str, service: &str| endpoint_settings(layout, seed, name, service);
    let records = [layout.records(), extra_records].concat();
    Fleet::start_with_platform(platform, records, &endpoints, &options, &flags).await
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
