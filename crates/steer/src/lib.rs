//! Request steering for an entry host: admission limits, endpoint selection and host membership.
//!
//! The crate performs no I/O and never reads a clock; callers pass the current time in. [`Steer`]
//! is the entry point and combines the configuration in force, the registered endpoints, the other
//! entry hosts, rate limits, retry budgets and placement.

mod bucket;
mod budget;
mod catalog;
mod cold;
mod config;
mod cursor;
mod departure;
mod digest;
mod endpoint;
mod estimate;
mod generation;
mod hash;
mod limit;
mod overload;
mod pause;
mod peers;
mod placement;
mod quota;
mod rate;
mod regions;
mod round_trip;
mod said;
mod senders;
mod settings;
mod shift;
mod split;
mod steer;
mod suspect;
mod tokens;
mod warm;

pub use budget::{RetryBudget, RetryLimits};
pub use catalog::Catalog;
pub use config::{
    ApiKey, Config, ConfigError, ConfigVersion, Limits, RetryPolicy, Route, RouteId, Service, Team,
    WeightedService,
};
pub use cursor::{Cursor, Extent};
pub use departure::{Departure, HostStage, Intake};
pub use digest::{
    Datagram, Digest, HostState, LeavingEndpoint, Message, MessageError, RegistryView,
};
pub use endpoint::{Endpoint, EndpointKey, EndpointRecord, EndpointState, Load, Outcome};
pub use generation::{Generation, GenerationTag, GenerationTracker, Observation};
pub use limit::{LimitChange, LimitNotice, LimitReport};
pub use peers::{HostRecord, Peer, Peers};
pub use placement::{Choice, Placement, PlacementCounts, PlacementRequest, RejectionReason};
pub use quota::TokenOutcome;
pub use settings::Settings;
pub use shift::ShiftLimiter;
pub use split::WeightedSplit;
pub use steer::fleet::Follower;
pub use steer::requests::Completion;
pub use steer::signals::LeftOut;
pub use steer::suspects::SuspectCounts;
pub use steer::{LocalHost, Steer};
pub use suspect::{
    Fingerprint, RecordedEnd, ReportedEnd, SuspectCall, SuspectRecord, SuspectReport,
};
pub use tokens::TokenSource;
