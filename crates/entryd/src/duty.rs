//! The duties of the daemon, which are the tasks that run for its whole life.

use std::collections::HashSet;
use std::pin::pin;
use std::sync::Arc;

use derive_more::{Display, Error};
use slog::error;
use wagtail_task::{End, Supervisor};

use crate::host::Host;
use crate::lifecycle::Phase;
use crate::tasks;

/// A task that runs for the life of a host. The host should stop when one ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Duty {
    /// Accepts connections of callers.
    #[display("callers")]
    Callers,
    /// Accepts connections of operators.
    #[display("operators")]
    Operators,
    /// Owns the connections to other hosts.
    #[display("peers")]
    Peers,
    /// Drives the router's timers.
    #[display("routing-timer")]
    RoutingTimer,
    /// Drives the timers of admission by quota.
    #[display("quota-timer")]
    QuotaTimer,
    /// Drives the timers of duplicate suppression.
    #[display("dedup-timer")]
    DedupTimer,
    /// Drives the timers of membership.
    #[display("membership-timer")]
    MembershipTimer,
    /// Drives the timers of configuration sync.
    #[display("config-timer")]
    ConfigTimer,
    /// Drives the timers of the platform calls.
    #[display("call-timer")]
    CallTimer,
    /// Checks the health of endpoints.
    #[display("endpoint-probes")]
    EndpointProbes,
    /// Advertises free slots to other hosts.
    #[display("adverts")]
    Adverts,
    /// Reads the platform's host list.
    #[display("host-list")]
    HostList,
    /// Rebuilds the answers to look-ups.
    #[display("directory")]
    Directory,
    /// Sets the gauges.
    #[display("gauges")]
    Gauges,
}

impl Duty {
    /// All duties.
    pub const ALL: [Self; 14] = [
        Self::Callers,
        Self::Operators,
        Self::Peers,
        Self::RoutingTimer,
        Self::QuotaTimer,
        Self::DedupTimer,
        Self::MembershipTimer,
        Self::ConfigTimer,
        Self::CallTimer,
        Self::EndpointProbes,
        Self::Adverts,
        Self::HostList,
        Self::Directory,
        Self::Gauges,
    ];

    /// Returns whether the duty ends when the host stops.
    fn ends_with_stop(self) -> bool {
        matches!(self, Self::Callers | Self::Operators | Self::Peers)
    }
}

/// A duty that ended before its host stopped, and how.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("duty {duty} ended: {end}")]
pub struct DutyEnded {
    /// The duty.
    pub duty: Duty,
    /// How it ended.
    pub end: End,
}

/// Runs the duties of a host.
#[derive(Debug)]
pub(crate) struct Duties {
    supervisor: Supervisor<Duty>,
    /// The first duty that ended too early.
    pub(crate) ended: Option<DutyEnded>,
    restarted: HashSet<Duty>,
}

impl Duties {
    pub(crate) fn new(supervisor: Supervisor<Duty>) -> Self {
        Self {
            supervisor,
            ended: None,
            restarted: HashSet::new(),
        }
    }

    pub(crate) fn start(&mut self, duty: Duty, work: impl Future<Output = ()> + Send + 'static) {
        self.supervisor.spawn(duty, work);
    }

    /// Waits until a duty ends too early; logs and counts its end.
    pub(crate) async fn next_end(&mut self, host: &Host) -> DutyEnded {
        loop {
            let (duty, end) = self.supervisor.next_end().await;
            let stopping = matches!(host.lifecycle.phase(), Phase::Leaving | Phase::Stopped);
            if duty.ends_with_stop() && end == End::Returned && stopping {
                continue;
            }
            host.metrics.duty_ended(duty);
            error!(host.log, "duty ended"; "duty" => %duty, "cause" => %end);
            let ended = DutyEnded { duty, end };
            self.ended.get_or_insert(ended.clone());
            return ended;
        }
    }

    /// Runs `work` to its end. Each timer or periodic task that ends meanwhile, or has ended before, is
    /// started once more, since the stop of a host depends on them.
    pub(crate) async fn run_until<T>(
        &mut self,
        host: &Arc<Host>,
        work: impl Future<Output = T>,
    ) -> T {
        if let Some(ended) = &self.ended {
            self.restart(host, ended.duty);
        }
        let mut work = pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return done,
                ended = self.next_end(host) => self.restart(host, ended.duty),
            }
        }
    }

    fn restart(&mut self, host: &Arc<Host>, duty: Duty) {
        if self.restarted.insert(duty) {
            tasks::start(host, self, duty);
        }
    }
}
