//! Clients for the platform's table service and object store.
//!
//! The traits [`Table`], [`Objects`] and [`Hosts`] are the interface of the platform.
//! [`HttpClient`] implements them over HTTP, and [`Memory`] in memory for tests and stand-ins.
//! [`Scheduler`] limits the calls of a host, and [`transact_with_retry`] brings a transaction to a
//! known outcome.
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
mod retry;
mod row;
mod schedule;
mod service;
mod wire;

pub use config::{
    Change, CommitError, Committed, commit, fetch_snapshot, load_config, scan_config,
};
pub use error::PlatformError;
pub use http::{HttpClient, HttpSettings};
pub use memory::Memory;
#[doc(hidden)]
pub use retry::RetryMutant;
pub use retry::{RetrySettings, RetryStep, TxnRetry, transact_with_retry};
pub use row::{Check, Page, Receipt, Row, RowKey, Scan, ScanCursor, Txn, Write};
pub use schedule::{
    Access, Outcome, Priority, ScheduleEffect, ScheduleInput, ScheduleSettings, Scheduler,
};
pub use service::{BoxFuture, Hosts, Listed, ListedState, Objects, Platform, Table};
pub use wire::{FailKind, Failure};
