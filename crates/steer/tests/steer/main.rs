//! Decisions over time, with injected clocks and no network.

mod catalog;
mod endpoints;
mod fleet;
mod limits;
mod patterns;
mod support;
mod world;
