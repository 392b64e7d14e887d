//! Endpoint choice, concurrency slots, queues, traffic moves and look-up tables.
//!
//! All decision logic is free of I/O: inputs are typed messages and the current time, outputs
//! are typed placements and effects.
//!
//! - [`PrefixTable`] maps client addresses to sites by longest prefix.
//! - [`Directory`] answers look-ups with an ordered list of entry hosts.
//! - [`Router`] sends requests to endpoints, queues them, or relays them to peers.

mod blocks;
mod budget;
mod handover;
mod key;
mod lookup;
mod message;
mod mutant;
mod ownership;
mod plan;
mod pool;
mod queue;
mod rendezvous;
mod router;
mod settings;
mod shift;
mod spillover;
mod topology;

pub use blocks::{PrefixTable, SiteKey};
pub use handover::{HandoverConsent, HandoverRequest};
pub use key::{EndpointKey, ServiceKey, TeamKey, Ticket};
pub use lookup::{Directory, HostRow, SiteRow};
pub use message::{
    Advert, Effect, Headroom, Health, Input, Lease, Origin, Outcome, Placement, RelayPermit,
    RelayResult, Report, Request,
};
#[cfg(feature = "mutants")]
pub use mutant::Mutant;
pub use router::Router;
pub use settings::{
    BudgetSettings, OwnershipSettings, PoolSettings, QueueSettings, Settings, SpilloverSettings,
};
pub use topology::{
    Cap, CapSpec, Delay, Drain, EndpointSpec, HostState, HostView, MoveSpec, ServiceSpec, TeamSpec,
    Topology, ZoneSpec,
};
