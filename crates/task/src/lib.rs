//! Supervises the duties of a process, which are the tasks that run for its whole life, and contains
//! panics in the handling of single requests, connections and messages.

#[cfg(feature = "faults")]
pub mod faults;
mod panic;
mod supervisor;

pub use panic::{Panic, catch, catch_sync, panic_message};
pub use supervisor::{End, Supervisor};
