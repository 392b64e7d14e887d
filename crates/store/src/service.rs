//! The platform as the rest of the system sees it.

use std::pin::Pin;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Page, PlatformError, Receipt, Row, RowKey, Scan, Txn};

/// A future that can be held behind a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// The future fails where the service cannot be reached or turns the call down.
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>>;

    /// Reads rows of a space and one row besides, all at one moment.
    ///
    /// # Errors
    ///
    /// The future fails where the service cannot be reached or turns the call down.
    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page>;

    /// Applies a transaction whole, or not at all.
    ///
    /// # Errors
    ///
    /// The future fails with [`PlatformError::Conflict`] where a check does not hold and with
    /// [`PlatformError::Unknown`] where the transaction may have been applied.
    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt>;
}

/// The object store.
pub trait Objects: Send + Sync {
    /// Stores an object. Objects are never changed: storing one again under its name is harmless.
    ///
    /// # Errors
    ///
    /// The future fails where the service cannot be reached or turns the call down.
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// The future fails where the service cannot be reached or turns the call down.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>>;
}

/// What the platform says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// It runs.
    #[display("live")]
    Live,
    /// It will be taken away.
    #[display("leaving")]
    Leaving,
}

/// A host or endpoint on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// The name of its zone.
    pub zone: String,
    /// Its state.
    pub state: ListedState,
}

/// The platform's list of hosts and endpoints, which lags.
pub trait Hosts: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// The future fails where the service cannot be reached or turns the call down.
    fn list(&self) -> BoxFuture<'_, Vec<Listed>>;
}

/// The whole platform.
pub trait Platform: Table + Objects + Hosts {}

impl<T: Table + Objects + Hosts> Platform for T {}
