//! Tests of the load tool on synthetic runs, and of its command line.

mod arrivals;
mod command;
mod measure;
mod promises;
mod run;
mod units;
