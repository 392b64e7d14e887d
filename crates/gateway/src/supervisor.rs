//! The supervision of a host's duties.

use std::collections::{HashMap, HashSet};
use std::pin::{Pin, pin};
use std::rc::Rc;

use derive_more::{Display, Error};
use slog::error;
use wagtail_steer::HostStage;
use wagtail_task::{End, Supervisor};

use crate::host::Core;

/// A task that runs for the life of a host. The host stops when one ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Duty {
    /// Accepts connections of callers.
    #[display("callers")]
    Callers,
    /// Answers readiness checks.
    #[display("readiness")]
    Readiness,
    /// Answers directory look-ups.
    #[display("directory")]
    Directory,
    /// Answers requests for the metrics.
    #[display("metrics")]
    Metrics,
    /// Handles messages of other hosts.
    #[display("peer-messages")]
    PeerMessages,
    /// Sends digests to other hosts.
    #[display("gossip")]
    Gossip,
    /// Registers the host and reads the registrations of the others.
    #[display("registration")]
    Registration,
    /// Follows the configuration and evacuations.
    #[display("operator-changes")]
    OperatorChanges,
    /// Follows the registrations of endpoints.
    #[display("endpoint-changes")]
    EndpointChanges,
    /// Keeps the registry's records of requests under which endpoints ended.
    #[display("suspect-records")]
    SuspectRecords,
    /// Maintains the endpoint table and starts health checks.
    #[display("endpoint-checks")]
    EndpointChecks,
}

impl Duty {
    /// All duties.
    pub const ALL: [Self; 11] = [
        Self::Callers,
        Self::Readiness,
        Self::Directory,
        Self::Metrics,
        Self::PeerMessages,
        Self::Gossip,
        Self::Registration,
        Self::OperatorChanges,
        Self::EndpointChanges,
        Self::SuspectRecords,
        Self::EndpointChecks,
    ];
}

/// A duty that ended while the host was to serve, and how.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("duty {duty} ended: {end}")]
pub struct DutyEnded {
    /// The duty.
    pub duty: Duty,
    /// How it ended.
    pub end: End,
}

type Start = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()>>>>;

/// Runs the duties of a host.
pub(crate) struct Duties {
    core: Rc<Core>,
    supervisor: Supervisor<Duty>,
    starts: HashMap<Duty, Start>,
    restarted: HashSet<Duty>,
}

impl Duties {
    pub(crate) fn new(core: Rc<Core>) -> Self {
        let supervisor = Supervisor::new(&core.steer.borrow().local_host().record.peer);
        Self {
            core,
            supervisor,
            starts: HashMap::new(),
            restarted: HashSet::new(),
        }
    }

    /// Starts a duty. `work` is called again if the duty has to be started once more.
    pub(crate) fn start<W>(&mut self, duty: Duty, work: impl Fn() -> W + 'static)
    where
        W: Future<Output = ()> + 'static,
    {
        self.supervisor.spawn_local(duty, work());
        self.starts.insert(duty, Box::new(move || Box::pin(work())));
    }

    /// Waits until a duty ends too early; logs and counts its end.
    pub(crate) async fn next_end(&mut self) -> DutyEnded {
        loop {
            let (duty, end) = self.supervisor.next_end().await;
            if end == End::Returned && self.may_return(duty) {
                // Closes the socket of the duty.
                self.starts.remove(&duty);
                continue;
            }
            self.core.metrics.count("duties_ended", &duty.to_string());
            error!(self.core.log, "duty ended"; "duty" => %duty, "cause" => %end);
            return DutyEnded { duty, end };
        }
    }

    /// Returns whether the stop of the host is far enough for the duty to return.
    fn may_return(&self, duty: Duty) -> bool {
        match duty {
            Duty::Callers => self.core.stop.stage() >= HostStage::Closed,
            Duty::Registration => self.core.is_leaving(),
            _ => false,
        }
    }

    /// Starts a duty once more, so that a stopping host keeps what it can for its callers: the
    /// connections that wait to be accepted, for example.
    pub(crate) fn restart(&mut self, duty: Duty) {
        if self.restarted.insert(duty)
            && let Some(start) = self.starts.get(&duty)
        {
            self.supervisor.spawn_local(duty, start());
        }
    }

    /// Runs `work` to its end. Each duty that ends meanwhile is started once more; the first such
    /// end is added to `ended`.
    pub(crate) async fn run_until<T>(
        &mut self,
        work: impl Future<Output = T>,
        ended: &mut Option<DutyEnded>,
    ) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                done = &mut work => return done,
                end = self.next_end() => {
                    self.restart(end.duty);
                    ended.get_or_insert(end);
                }
            }
        }
    }
}
