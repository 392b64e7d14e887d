//! Stand-ins for the platform and for endpoints, each with a fault table, and for slow links.

pub mod endpoint;
pub mod link;
pub mod platform;
