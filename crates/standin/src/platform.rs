//! A stand-in for the platform: table service, object store and lagging host list over HTTP.
//!
//! Faults are set by command-line options, through [`Running::faults`] or by `PUT /faults`.

mod args;
mod faults;
mod hosts;
mod injector;
mod routes;
mod serve;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use wagtail_store::{Listed, MemoryPlatform};

pub use faults::{Counters, FaultTable, Faults};

use args::{Args, Parsed};
use hosts::HostList;
use injector::FaultInjector;

const USAGE_STATUS: u8 = 2;

/// State shared by the request handlers.
#[derive(Debug)]
pub(crate) struct Shared {
    memory: Arc<MemoryPlatform>,
    hosts: HostList,
    injector: FaultInjector,
}

/// A running stand-in, which stops when this handle is dropped.
#[derive(Debug)]
pub struct Running {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// A handle to read and replace the injected faults while it runs.
    pub faults: FaultTable,
    /// The table and object store behind it.
    pub memory: Arc<MemoryPlatform>,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

impl Running {
    /// Adds a host to the host list, or replaces its entry.
    pub fn set_host(&self, host: Listed) {
        self.shared.hosts.set(host);
    }

    /// Removes a host from the host list.
    pub fn remove_host(&self, name: &str) {
        self.shared.hosts.remove(name.to_owned());
    }

    /// Stops the stand-in and closes its connections.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// Starts a stand-in on `addr`; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(addr: SocketAddr) -> io::Result<Running> {
    start_with(addr, Faults::default()).await
}

/// Starts a stand-in as [`start`] does, with faults in force from the first call.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_with(addr: SocketAddr, faults: Faults) -> io::Result<Running> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let memory = Arc::new(MemoryPlatform::default());
    let faults = FaultTable::new(faults, memory.clone());
    let shared = Arc::new(Shared {
        memory: memory.clone(),
        hosts: HostList::default(),
        injector: FaultInjector::new(faults.clone()),
    });
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve::run(listener, shared.clone(), stopped));
    Ok(Running {
        addr,
        faults,
        memory,
        shared,
        stop,
    })
}

/// Runs the `platform` command until it is interrupted, and returns its exit status.
pub fn main(parser: lexopt::Parser) -> ExitCode {
    let args = match args::parse(parser) {
        Ok(Parsed::Run(args)) => args,
        Ok(Parsed::Help) => {
            print!("{}", args::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("wagtail-standin platform: {error}; see --help");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtail-standin platform: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let running = start_with(args.listen, args.faults).await?;
        println!("listening on {}", running.addr);
        tokio::signal::ctrl_c().await?;
        running.stop();
        Ok(())
    })
}
