//! Faults and operator actions that are applied to a deployment under load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;
use tokio::time::sleep_until;
use wagtail_config::HostStatus;
use wagtail_standin::endpoint::{Fault, Faults, Report, Rule};

use crate::client::Caller;
use crate::deployment::{Layout, raw};
use crate::fleet::{Fleet, FleetError};
use crate::network::{Network, Traffic};
use crate::promises::Evidence;

/// A fault or an operator action; the `Debug` form is part of the report.
#[derive(Debug, Clone)]
pub enum Event {
    /// The platform goes down or comes back.
    StoreDown(bool),
    /// Every call to the platform takes this many milliseconds longer.
    StoreSlow(u64),
    /// A zone is cut off from the others and the platform.
    Cut(String),
    /// Every zone that was cut off is connected again.
    Heal,
    /// An operator drains an endpoint.
    Drain(String),
    /// An endpoint announces that it is leaving.
    Leave(String),
    /// An operator moves part of a service's traffic: service, source region, target region,
    /// share in percent, cap in percent, ramp in seconds.
    Move(&'static str, &'static str, &'static str, u32, u32, u64),
    /// A host stops gracefully.
    Stop(String),
    /// A host is killed.
    Kill(String),
    /// Every host and endpoint of a region, given by index, is killed.
    Lose(usize),
    /// An operator withdraws the key of a team, given by index.
    Withdraw(usize),
    /// Every third endpoint of a service is slow, reports itself as idle and refuses 5 % of its
    /// requests.
    Mislead(&'static str),
}

/// Applies events to a running deployment and gathers evidence and notes.
pub(crate) struct EventRunner {
    layout: Arc<Layout>,
    network: Network,
    fleet: Fleet,
    start: Instant,
    traffic: Traffic,
    evidence: Evidence,
    notes: Vec<String>,
    caller: Caller,
}

impl EventRunner {
    pub(crate) fn new(layout: Arc<Layout>, network: Network, fleet: Fleet, start: Instant) -> Self {
        Self {
            traffic: network.traffic(),
            layout,
            network,
            fleet,
            start,
            evidence: Evidence::default(),
            notes: Vec::new(),
            caller: Caller::new("stage"),
        }
    }

    /// Applies every event at its time after the start.
    pub(crate) async fn run(&mut self, events: Vec<(Duration, Event)>) -> Result<(), FleetError> {
        for (at, event) in events {
            sleep_until((self.start + at).into()).await;
            self.note(&format!("{event:?}"));
            self.apply(event).await?;
        }
        Ok(())
    }

    async fn apply(&mut self, event: Event) -> Result<(), FleetError> {
        match event {
            Event::StoreDown(down) => {
                let faults = self.fleet.platform.faults.get();
                self.fleet
                    .platform
                    .faults
                    .set(wagtail_standin::platform::Faults { down, ..faults });
            }
            Event::StoreSlow(delay_ms) => {
                let faults = self.fleet.platform.faults.get();
                let slow = wagtail_standin::platform::Faults { delay_ms, ..faults };
                self.fleet.platform.faults.set(slow);
            }
            Event::Cut(zone) => self.network.cut(&zone),
            Event::Heal => self.network.heal(),
            Event::Drain(endpoint) => self.drain(endpoint).await?,
            Event::Leave(endpoint) => self.announce_leaving(endpoint),
            Event::Move(service, from, to, share, cap, ramp) => {
                let body = json!({
                    "service": service, "from": from, "to": to, "ramp_s": ramp,
                    "share": format!("{share}%"), "cap": format!("{cap}%"),
                });
                self.fleet
                    .commit(vec![raw(1, "move", "planned", body)])
                    .await?;
            }
            Event::Stop(host) => self.stop(&host).await?,
            Event::Kill(host) => self.kill(&host).await,
            Event::Lose(region) => self.kill_region(region).await,
            Event::Withdraw(team) => self.withdraw(team).await?,
            Event::Mislead(service) => self.mislead(service),
        }
        Ok(())
    }

    pub(crate) fn note(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.notes.push(format!("{at:6.2} s  {text}"));
    }

    async fn drain(&mut self, endpoint: String) -> Result<(), FleetError> {
        let body = json!({ "endpoint": endpoint });
        self.fleet
            .commit(vec![raw(1, "drain", "planned", body)])
            .await?;
        self.evidence.leaving.insert(endpoint, self.start.elapsed());
        Ok(())
    }

    fn announce_leaving(&mut self, endpoint: String) {
        if let Some(running) = self.fleet.endpoints.get(&endpoint) {
            running.set_faults(Faults {
                leaving: true,
                ..running.faults()
            });
            self.evidence.leaving.insert(endpoint, self.start.elapsed());
        }
    }

    async fn stop(&mut self, host: &str) -> Result<(), FleetError> {
        if let Some(running) = self.fleet.hosts.remove(host) {
            let begun = Instant::now();
            running.stop().await?;
            self.note(&format!(
                "{host} stopped after {:.2} s",
                begun.elapsed().as_secs_f64()
            ));
        }
        Ok(())
    }

    async fn kill(&mut self, host: &str) {
        if let Some(running) = self.fleet.hosts.remove(host) {
            self.evidence.crashed = true;
            running.kill().await;
        }
    }

    async fn kill_region(&mut self, region: usize) {
        self.evidence.crashed = true;
        let prefix = format!("{}-", self.layout.regions[region]);
        let hosts: Vec<_> = self
            .fleet
            .hosts
            .keys()
            .filter(|h| h.starts_with(&prefix))
            .cloned()
            .collect();
        for host in hosts {
            self.kill(&host).await;
        }
        let layout = self.layout.clone();
        for service in &layout.services {
            for index in 0..service.endpoints {
                let (name, zone) = layout.endpoint(service, index);
                if zone.starts_with(&prefix)
                    && let Some(running) = self.fleet.endpoints.remove(&name)
                {
                    self.evidence.collect(&layout, &name, &running, self.start);
                    running.kill().await;
                }
            }
        }
    }

    async fn withdraw(&mut self, team: usize) -> Result<(), FleetError> {
        const TIMEOUT: Duration = Duration::from_secs(5);
        let record = self.layout.team(&self.layout.teams[team], &[]);
        let before = self.epochs().await.into_iter().max().unwrap_or_default();
        self.fleet.commit(vec![record]).await?;
        let committed = Instant::now();
        self.evidence.withdrawn.insert(team, self.start.elapsed());
        while committed.elapsed() < TIMEOUT {
            if self.epochs().await.iter().all(|epoch| *epoch > before) {
                let after = committed.elapsed().as_millis();
                self.note(&format!(
                    "in force on every host {after} ms after the commit"
                ));
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.note("not in force on every host within 5 s");
        Ok(())
    }

    async fn epochs(&self) -> Vec<wagtail_types::Epoch> {
        let mut epochs = Vec::new();
        for host in self.fleet.hosts.values() {
            let status = self
                .caller
                .json::<HostStatus>(Method::GET, host.addr(), "/v1/status");
            epochs.push(status.await.map(|s| s.epoch).unwrap_or_default());
        }
        epochs
    }

    fn mislead(&mut self, service: &str) {
        const SLOW_PERCENT: u32 = 400;
        let index_of = |name: &str| {
            let index = name.strip_prefix(service)?.strip_prefix('-')?;
            index.parse::<usize>().ok()
        };
        for (name, running) in &self.fleet.endpoints {
            if index_of(name).is_some_and(|index| index % 3 == 0) {
                running.set_faults(Faults {
                    slow_percent: SLOW_PERCENT,
                    report: Report::Fixed { inflight: 0 },
                    rules: vec![Rule {
                        fault: Fault::Refuse,
                        percent: 5,
                        path: None,
                    }],
                    ..Faults::default()
                });
            }
        }
    }

    /// Notes the traffic between hosts; each byte is counted at both ends.
    fn note_traffic(&mut self) {
        let now = self.network.traffic();
        let host_seconds =
            self.start.elapsed().as_secs_f64() * self.layout.host_names().len() as f64;
        let rate = |now: u64, before: u64| now.saturating_sub(before) as f64 / host_seconds;
        let control = rate(now.control, self.traffic.control);
        let relay = rate(now.relay, self.traffic.relay);
        let messages = rate(now.messages, self.traffic.messages);
        self.note(&format!(
            "a host and second: {control:.0} bytes of control in {messages:.1} messages sent, \
             {relay:.0} bytes of relays"
        ));
    }

    /// Stops the deployment and returns the evidence and the notes.
    pub(crate) async fn finish(mut self) -> Result<(Evidence, Vec<String>), FleetError> {
        self.note_traffic();
        for (name, running) in &self.fleet.endpoints {
            self.evidence
                .collect(&self.layout, name, running, self.start);
        }
        for (name, signalled) in self.evidence.leaving.clone() {
            let own = self.evidence.requests.iter().filter(|s| s.endpoint == name);
            let last = own
                .filter_map(|s| Some(s.at? + s.entry.ended?.saturating_sub(s.entry.started)))
                .max();
            if let Some(last) = last {
                let after = last.saturating_sub(signalled).as_secs_f64();
                self.notes
                    .push(format!("{name} was drained {after:.2} s after it was told"));
            }
        }
        self.network.heal();
        let no_faults = wagtail_standin::platform::Faults::default();
        self.fleet.platform.faults.set(no_faults);
        self.fleet.stop().await?;
        Ok((self.evidence, self.notes))
    }
}
