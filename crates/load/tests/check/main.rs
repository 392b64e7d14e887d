//! The load tool judged by made-up runs, and its command line.

mod arrivals;
mod command;
mod measure;
mod promises;
mod run;
mod units;
