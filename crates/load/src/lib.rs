//! The load tool: load generation, experiments under faults, measurements and reports.

pub mod arrivals;
pub mod bound;
pub mod callers;
pub mod client;
pub mod deployment;
pub mod experiment;
pub mod fleet;
pub mod measure;
pub mod mix;
pub mod network;
pub mod overhead;
pub mod plot;
pub mod promises;
pub mod report;
pub mod run;
pub mod served;
pub mod slopes;
pub mod text;
pub mod tour;
