//! The platform in memory.

mod store;

use std::collections::BTreeMap;
use std::future::ready;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::{
    BoxFuture, Hosts, Listed, Objects, Page, PlatformError, Receipt, Row, RowKey, Scan, Table, Txn,
};
use store::Store;

/// Implements the platform in memory, for tests and stand-ins.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    /// The state that reads see while they are frozen.
    frozen: Option<Store>,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<String, Listed>,
}

impl State {
    fn visible(&self) -> &Store {
        self.frozen.as_ref().unwrap_or(&self.store)
    }
}

impl Memory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes reads and scans see the current state from now on, or lets them see every write again.
    /// The checks of transactions always see every write.
    pub fn freeze_reads(&self, frozen: bool) {
        let mut state = self.lock();
        state.frozen = frozen.then(|| state.store.clone());
    }

    /// Adds a host or endpoint to the list, or replaces it.
    pub fn set_host(&self, host: Listed) {
        self.lock().hosts.insert(host.name.clone(), host);
    }

    /// Removes a host or endpoint from the list.
    pub fn remove_host(&self, name: &str) {
        self.lock().hosts.remove(name);
    }

    /// Returns the number of rows in the table.
    pub fn row_count(&self) -> usize {
        self.lock().store.len()
    }
}

impl Table for Memory {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(ready(Ok(self.lock().visible().read(key))))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(ready(Ok(self.lock().visible().scan(scan))))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(ready(self.lock().store.transact(txn)))
    }
}

impl Objects for Memory {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        let mut state = self.lock();
        let stored = state
            .objects
            .entry(name.to_owned())
            .or_insert_with(|| bytes.clone());
        let same = *stored == bytes;
        Box::pin(ready(if same {
            Ok(())
        } else {
            Err(PlatformError::not_applied(
                "another object with this name exists",
            ))
        }))
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Option<Bytes>> {
        Box::pin(ready(Ok(self.lock().objects.get(name).cloned())))
    }
}

impl Hosts for Memory {
    fn list(&self) -> BoxFuture<'_, Vec<Listed>> {
        Box::pin(ready(Ok(self.lock().hosts.values().cloned().collect())))
    }
}
