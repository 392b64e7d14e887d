//! Decisions of an entry host that sends requests straight to endpoints.
//!
//! Nothing here does I/O or reads a clock: callers pass the time in. [`Steer`] joins the parts:
//! the configuration in force, the endpoints, the other hosts, limits, budgets and placement.

mod budget;
mod catalog;
mod cold;
mod config;
mod digest;
mod endpoint;
mod estimate;
mod flow;
mod hash;
mod hosts;
mod place;
mod quota;
mod regions;
mod settings;
mod shares;
mod split;
mod steer;
mod tokens;
mod warm;

pub use budget::Budget;
pub use catalog::Catalog;
pub use config::{
    ApiKey, Config, ConfigVersion, ContentError, Limits, Part, Repeat, Route, RouteId, Service,
    Team,
};
pub use digest::{Digest, DigestError, HostState, Message};
pub use endpoint::{Endpoint, EndpointKey, EndpointRecord, EndpointState, Load, Outcome};
pub use hosts::{HostRecord, Hosts, Peer};
pub use place::{Ask, Choice, Miss, Placement};
pub use quota::Taken;
pub use settings::Settings;
pub use shares::Shares;
pub use split::Split;
pub use steer::fleet::Follower;
pub use steer::placing::End;
pub use steer::{Steer, Us};
pub use tokens::Token;
