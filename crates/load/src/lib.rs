//! Load generation, experiments and reports.

pub mod client;
pub mod fleet;
pub mod report;
pub mod tour;
