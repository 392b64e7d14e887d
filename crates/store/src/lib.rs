//! Clients for the platform's table service and object store.
//!
//! [`Table`], [`Objects`] and [`Hosts`] are the platform as the rest of the system sees it;
//! [`HttpClient`] reaches it over HTTP and [`Memory`] stands in for it inside a process.
//!
//! # Example
//!
//! ```
//! use wagtail_store::{Memory, RowKey, Table, Txn, Write};
//! use wagtail_types::AttemptId;
//!
//! # let rt = tokio::runtime::Builder::new_current_thread().build()?;
//! # rt.block_on(async {
//! let table = Memory::default();
//! let key = RowKey::new("lease", "shard-1");
//! let txn = Txn::new(AttemptId(7)).check(key.clone(), None).write(Write::put(key.clone(), "held"));
//!
//! table.transact(&txn).await?;
//! assert_eq!(table.read(&key).await?.expect("written").attempt, AttemptId(7));
//! # Ok::<(), wagtail_store::PlatformError>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod config;
mod error;
mod http;
mod memory;
mod row;
mod schedule;
mod service;
mod settle;
mod wire;

pub use config::{
    Change, CommitError, Committed, commit, fetch_snapshot, load_config, scan_config,
};
pub use error::PlatformError;
pub use http::{HttpClient, HttpSettings};
pub use memory::Memory;
pub use row::{Check, Page, Place, Receipt, Row, RowKey, Scan, Txn, Write};
pub use schedule::{
    Access, Outcome, Priority, ScheduleEffect, ScheduleInput, ScheduleSettings, Scheduler,
};
pub use service::{BoxFuture, Hosts, Listed, ListedState, Objects, Platform, Table};
#[doc(hidden)]
pub use settle::SettleMutant;
pub use settle::{Settle, SettleSettings, SettleStep, settle};
pub use wire::{FailKind, Failure};
