//! Stand-ins for the platform and for endpoints, each with a fault table.

pub mod endpoint;
pub mod platform;
