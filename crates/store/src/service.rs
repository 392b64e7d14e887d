//! The interface of the platform.

use std::pin::Pin;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Page, PlatformError, Receipt, Row, RowKey, Scan, Txn};

/// The future of a call, boxed so that the traits can be used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Accesses the transactional table service.
pub trait Table: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// The future fails if the service cannot be reached or rejects the call.
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>>;

    /// Reads rows of a space, and one other row if asked for, all at one moment.
    ///
    /// # Errors
    ///
    /// The future fails if the service cannot be reached or rejects the call.
    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page>;

    /// Applies a transaction completely or not at all.
    ///
    /// # Errors
    ///
    /// The future fails with [`PlatformError::Conflict`] if a check does not hold, and with
    /// [`PlatformError::Unknown`] if the transaction may have been applied.
    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt>;
}

/// Accesses the object store.
pub trait Objects: Send + Sync {
    /// Stores an object. Objects are immutable, so that storing the same bytes again under the same
    /// name succeeds.
    ///
    /// # Errors
    ///
    /// The future fails if the service cannot be reached or rejects the call.
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()>;

    /// Reads an object; `None` if there is none of this name.
    ///
    /// # Errors
    ///
    /// The future fails if the service cannot be reached or rejects the call.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>>;
}

/// Tells the state of a host or endpoint on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It is running.
    #[display("live")]
    Live,
    /// It is about to be removed.
    #[display("leaving")]
    Leaving,
}

/// Describes a host or endpoint on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The name of the host or endpoint; for an endpoint, the name of its record.
    pub name: String,
    /// The name of its zone.
    pub zone: String,
    /// Its state; hosts tell their router which endpoints are leaving.
    pub state: ListedState,
}

/// Accesses the platform's list of hosts and endpoints, which may be out of date.
pub trait Hosts: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// The future fails if the service cannot be reached or rejects the call.
    fn list(&self) -> BoxFuture<'_, Vec<Listed>>;
}

/// Combines the interfaces of the platform.
pub trait Platform: Table + Objects + Hosts {}

impl<T: Table + Objects + Hosts> Platform for T {}
