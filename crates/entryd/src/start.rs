//! Starting and stopping one entry host.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, UNIX_EPOCH};

use derive_more::{Display, Error, From};
use rand::Rng;
use sha2::{Digest, Sha256};
use slog::{Logger, info, o, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use wagtail_config::{ConfigSync, SyncInput, SyncSettings, View};
use wagtail_member::{HostInfo, Member};
use wagtail_once::Deduplicator;
use wagtail_peer::{FleetSecret, LinkEmulation, Peer};
use wagtail_quota::Quota;
use wagtail_route::{Directory, Router};
use wagtail_store::{HttpClient, HttpSettings, Platform, ScheduleSettings, Scheduler};
use wagtail_task::Supervisor;
use wagtail_types::{Bytes, Clock, Incarnation, SystemClock};

use crate::api;
use crate::calls::PlatformCalls;
use crate::derived::Sites;
use crate::drive;
use crate::duty::{Duties, Duty, DutyEnded};
use crate::host::{Host, seeded_rng};
use crate::lifecycle::{Serving, Starting};
use crate::listed::ListedHosts;
use crate::machine::SharedMachine;
use crate::metrics::Metrics;
use crate::periods;
use crate::relay::PeerHandler;
use crate::reports::LastReports;
use crate::request::BODY_UNIT_BYTES;
use crate::server::{self, Server};
use crate::settings::{Secret, Settings};
use crate::stats::Stats;
use crate::tasks;
use crate::upstream::Upstreams;

/// Timeout for releasing the quota shards, and again for ending the connections of callers and
/// operators.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Parts of a host that an embedding program provides itself.
#[derive(Clone)]
pub struct Options {
    /// The parent logger; the host adds its name to every line as `host`.
    pub log: Logger,
    /// The source of monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// The platform; `None` connects to the address in the settings.
    pub platform: Option<Arc<dyn Platform>>,
    /// Emulation of the network links to other hosts, for experiments.
    pub emulation: Option<LinkEmulation>,
}

impl Options {
    /// Creates options with the system clock and the platform that the settings name.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            clock: Arc::new(SystemClock),
            platform: None,
            emulation: None,
        }
    }
}

/// An error from starting or stopping a host.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A socket could not be bound or a thread could not be started.
    #[display("{_0}")]
    Io(std::io::Error),
    /// Requests were still running when the stop timeout expired.
    #[display("the stop timeout expired with {requests} requests still running")]
    #[from(ignore)]
    StopTimeout {
        /// Number of running requests.
        requests: usize,
    },
    /// A duty ended before the host stopped.
    #[display("{_0}")]
    DutyEnded(DutyEnded),
}

/// A running entry host.
pub struct Running {
    host: Arc<Host>,
    serving: Serving,
    callers: Server,
    operators: Server,
    duties: Duties,
}

/// A host whose sockets are bound and whose tasks run, but that has no configuration yet.
pub struct Bound {
    host: Arc<Host>,
    starting: Starting,
    callers: Server,
    operators: Server,
    duties: Duties,
}

/// Starts a host and returns once it serves, which requires a configuration.
///
/// # Errors
///
/// Fails if an address cannot be bound, a thread cannot be started or a duty ends.
pub async fn start(settings: Settings, options: Options) -> Result<Running, RunError> {
    bind(settings, options).await?.serve().await
}

/// Binds the sockets of a host and starts its tasks.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub async fn bind(settings: Settings, options: Options) -> Result<Bound, RunError> {
    let callers = TcpListener::bind(settings.listen).await?;
    let operators = TcpListener::bind(settings.ops).await?;
    let starting = Starting::new();
    let host = Arc::new(build(settings, &options, &starting)?);
    let peer = start_peer(&host, options.emulation)?;
    peer.set_addresses(drive::peer_addresses(&host, &host.view.load()));
    let _ = host.peer.set(peer);
    let limits = server::Limits {
        connections: host.settings.limits.connections,
        header: host.settings.limits.header.as_usize(),
    };
    let (callers, accept) = Server::new(callers, api::callers(host.clone()), limits)?;
    let mut duties = Duties::new(Supervisor::new(&callers.addr()));
    duties.start(Duty::Callers, accept);
    let (operators, accept) = Server::new(operators, api::operators(host.clone()), limits)?;
    duties.start(Duty::Operators, accept);
    let peers = host.clone();
    duties.start(Duty::Peers, async move {
        if let Some(peer) = peers.peer() {
            peer.ended().await;
        }
    });
    for duty in Duty::ALL {
        tasks::start(&host, &mut duties, duty);
    }
    let seeds = host.settings.seeds.iter().map(|s| s.host.clone()).collect();
    drive::sync_input(&host, SyncInput::Peers(seeds));
    info!(host.log, "started"; "listen" => %callers.addr(), "ops" => %operators.addr(),
        "incarnation" => %host.incarnation);
    Ok(Bound {
        host,
        starting,
        callers,
        operators,
        duties,
    })
}

impl Bound {
    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for operators.
    pub fn ops_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Returns the address for other hosts; always `Some`, since [`bind`] starts the listener.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.host.peer().map(Peer::addr)
    }

    /// Waits for a configuration, then lists this host in look-ups.
    ///
    /// # Errors
    ///
    /// Fails if a duty ends before that.
    pub async fn serve(self) -> Result<Running, RunError> {
        let Self {
            host,
            starting,
            callers,
            operators,
            mut duties,
        } = self;
        tokio::select! {
            () = host.adopted.notified() => {}
            ended = duties.next_end(&host) => {
                callers.abort();
                operators.abort();
                return Err(RunError::DutyEnded(ended));
            }
        }
        let serving = starting.serve();
        drive::publish_members(&host);
        info!(host.log, "serving"; "epoch" => %host.view.load().epoch());
        Ok(Running {
            host,
            serving,
            callers,
            operators,
            duties,
        })
    }
}

fn build(settings: Settings, options: &Options, starting: &Starting) -> Result<Host, RunError> {
    let clock = options.clock.clone();
    let now = clock.now();
    let incarnation = incarnation(&*clock);
    // The incarnation is mixed in so that a restart draws other numbers even if the seed is set.
    let mut random = seeded_rng(settings.seed.wrapping_mul(incarnation.0));
    let member = member_settings(&settings, incarnation);
    let detection = member.detection_timeout(settings.fleet as usize);
    let platform = options
        .platform
        .clone()
        .unwrap_or_else(|| Arc::new(HttpClient::new(HttpSettings::new(settings.platform))));
    let log = options.log.new(o!("host" => settings.host.to_string()));
    let metrics = Metrics::new(settings.statsd, &settings.host, &settings.zone)?;
    Ok(Host {
        incarnation,
        log,
        metrics,
        stats: Stats::new(now),
        lifecycle: starting.watch(),
        adoption: std::sync::Mutex::new(()),
        reads_failing: std::sync::Mutex::new(None),
        publishing: std::sync::Mutex::new(()),
        view: View::empty().into_swap(),
        sites: Sites::default().into_swap(),
        directory: Directory::default().into_swap(),
        mode: wagtail_member::Mode::CutOff { since: now }.into_swap(),
        routing: SharedMachine::new(Router::new(
            route_settings(&settings, detection),
            random.random(),
            now,
        )),
        quota: SharedMachine::new(Quota::new(
            quota_settings(&settings, incarnation),
            random.random(),
            now,
        )),
        dedup: SharedMachine::new(Deduplicator::new(
            once_settings(&settings),
            settings.host.clone(),
            incarnation,
            random.random(),
            now,
        )),
        membership: SharedMachine::new(Member::new(member, random.random(), now)),
        listed: ListedHosts::default(),
        config_sync: SharedMachine::new(ConfigSync::new(
            sync_settings(&settings),
            random.random(),
            now,
        )),
        body_memory: Arc::new(Semaphore::new(body_units(settings.limits.keyed_memory))),
        calls: PlatformCalls::new(Scheduler::new(
            ScheduleSettings {
                hosts: settings.fleet,
                ..ScheduleSettings::default()
            },
            random.random(),
            now,
        )),
        last_reports: LastReports::default(),
        upstreams: Upstreams::new(settings.times.connect_timeout),
        peer: OnceLock::new(),
        platform,
        adopted: Notify::new(),
        released: Notify::new(),
        replaced: Notify::new(),
        next_attempt: AtomicU64::new(0),
        attempt_prefix: random.random(),
        settings,
        clock,
    })
}

fn body_units(memory: Bytes) -> usize {
    let units = usize::try_from(memory.0 / BODY_UNIT_BYTES).unwrap_or(usize::MAX);
    units.min(Semaphore::MAX_PERMITS)
}

trait IntoSwap: Sized {
    fn into_swap(self) -> arc_swap::ArcSwap<Self> {
        arc_swap::ArcSwap::from_pointee(self)
    }
}

impl<T> IntoSwap for T {}

/// Returns the incarnation: milliseconds since the Unix epoch, so that a restart gets a higher one.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn route_settings(settings: &Settings, detection: Duration) -> wagtail_route::Settings {
    let (zone, region) = (settings.zone.clone(), settings.region.clone());
    let mut route = wagtail_route::Settings::new(settings.host.clone(), zone, region);
    route.ownership.detection_timeout = detection;
    route.spillover.advert_ttl = periods::advert_ttl(settings.fleet);
    route
}

fn quota_settings(settings: &Settings, incarnation: Incarnation) -> wagtail_quota::Settings {
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    wagtail_quota::Settings {
        lease_term: settings.times.lease_term,
        outage_term: settings.times.outage_term,
        ..wagtail_quota::Settings::new(host, zone, incarnation)
    }
}

fn once_settings(settings: &Settings) -> wagtail_once::Settings {
    wagtail_once::Settings {
        outcome_ttl: settings.times.outcome_ttl,
        key_ttl: settings.times.outcome_ttl,
        memory: settings.limits.outcome_memory,
        answer_max: settings.limits.buffered_body,
        checksum_seed: checksum_seed(&settings.secret),
        ..wagtail_once::Settings::default()
    }
}

/// Derives the seed of the tag in idempotency keys from the fleet's secret, which it does not reveal.
fn checksum_seed(secret: &Secret) -> u64 {
    let digest = Sha256::new_with_prefix(b"idempotency keys")
        .chain_update(secret.0.as_bytes())
        .finalize();
    digest[..8]
        .iter()
        .fold(0, |seed, byte| seed << 8 | u64::from(*byte))
}

fn member_settings(settings: &Settings, incarnation: Incarnation) -> wagtail_member::Settings {
    let own = HostInfo::new(
        settings.host.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    );
    wagtail_member::Settings {
        poll_interval: settings.times.poll_interval,
        ..wagtail_member::Settings::new(own, incarnation)
    }
}

fn sync_settings(settings: &Settings) -> SyncSettings {
    SyncSettings {
        poll_interval: settings.times.poll_interval,
        ..SyncSettings::default()
    }
}

fn start_peer(host: &Arc<Host>, emulation: Option<LinkEmulation>) -> Result<Peer, RunError> {
    let settings = &host.settings;
    let secret: FleetSecret = settings
        .secret
        .0
        .parse()
        .map_err(|e| std::io::Error::other(format!("{e}")))?;
    let settings = wagtail_peer::Settings {
        emulation,
        ..wagtail_peer::Settings::new(
            settings.host.clone(),
            host.incarnation,
            settings.peer,
            secret,
        )
    };
    let handler = Arc::new(PeerHandler(Arc::downgrade(host)));
    Ok(Peer::start(
        settings,
        handler,
        tokio::runtime::Handle::current(),
    )?)
}

impl Running {
    /// Returns the address for callers.
    pub fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for operators.
    pub fn ops_addr(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Waits until a newer incarnation of this host is running.
    pub async fn replaced(&self) {
        self.host.replaced.notified().await;
    }

    /// Waits until a duty ends. The host must be stopped then, since it no longer does all its work.
    pub async fn duty_ended(&mut self) -> DutyEnded {
        self.duties.next_end(&self.host).await
    }

    /// Removes the host from look-ups, waits for running requests, releases its quota shards and
    /// stops.
    ///
    /// # Errors
    ///
    /// Fails if requests were still running when the stop timeout expired, or if a duty has ended.
    pub async fn stop(self) -> Result<(), RunError> {
        let Self {
            host,
            serving,
            callers,
            operators,
            mut duties,
        } = self;
        let leaving = serving.leave();
        info!(host.log, "stopping; waiting for running requests"; "running" => host.lifecycle.running());
        drive::member_input(&host, wagtail_member::Input::Leave);
        drive::publish_members(&host);
        let times = &host.settings.times;
        let stopping = async {
            let drained = leaving.drain(times.lookup_ttl, times.stop_timeout).await;
            release(&host).await;
            let ended = tokio::time::timeout(RELEASE_TIMEOUT, async {
                callers.stop().await;
                operators.stop().await;
            });
            (drained, ended.await.is_ok())
        };
        let (drained, ended) = duties.run_until(&host, stopping).await;
        let duty_ended = duties.ended.take();
        drop(duties);
        if let Some(peer) = host.peer() {
            peer.stop().await;
        }
        match drained {
            Ok(_) => {
                info!(host.log, "stopped"; "connections_ended" => ended);
                duty_ended.map_or(Ok(()), |ended| Err(RunError::DutyEnded(ended)))
            }
            Err(requests) => {
                warn!(host.log, "stop timeout expired; running requests were cut off"; "requests" => requests);
                Err(RunError::StopTimeout { requests })
            }
        }
    }

    /// Stops at once without draining, as if the process were killed.
    pub async fn kill(self) {
        let Self {
            host,
            callers,
            operators,
            duties,
            ..
        } = self;
        drop(duties);
        callers.abort();
        operators.abort();
        if let Some(peer) = host.peer() {
            peer.stop().await;
        }
    }
}

async fn release(host: &Arc<Host>) {
    let now = host.now();
    host.quota.lock().machine.release(now);
    drive::apply_quota(host);
    if tokio::time::timeout(RELEASE_TIMEOUT, host.released.notified())
        .await
        .is_err()
    {
        warn!(
            host.log,
            "quota shards were not released within the timeout"
        );
    }
}

/// Runs a host until SIGTERM, SIGINT, a newer incarnation or the end of a duty stops it.
///
/// # Errors
///
/// Fails as [`start`] and [`Running::stop`] do.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let log = crate::logs::to_stderr(settings.log_format);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut running = tokio::select! {
            running = start(settings, Options::new(log)) => running?,
            stop = stop_signal() => return Ok(stop?),
        };
        let host = running.host.clone();
        tokio::select! {
            stop = stop_signal() => stop?,
            () = host.replaced.notified() => {}
            _ = running.duty_ended() => {}
        }
        running.stop().await
    })
}

async fn stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
