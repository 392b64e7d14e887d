//! Steering decisions over simulated time, with manual clocks and no network.

mod catalog;
mod departure;
mod endpoints;
mod fleet;
mod limits;
mod named_limits;
mod owners;
mod patterns;
mod registry_model;
mod restore;
mod retries;
mod signals;
mod simulation;
mod support;
mod suspects;
