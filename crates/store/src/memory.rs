//! The platform inside one process.

mod store;

use std::collections::BTreeMap;
use std::future::ready;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use crate::{
    BoxFuture, Hosts, Listed, Objects, Page, PlatformError, Receipt, Row, RowKey, Scan, Table, Txn,
};
use store::Store;

/// A platform held in memory, for tests and stand-ins.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    seen: Option<Store>,
    objects: BTreeMap<String, Bytes>,
    hosts: BTreeMap<String, Listed>,
}

impl State {
    fn readable(&self) -> &Store {
        self.seen.as_ref().unwrap_or(&self.store)
    }
}

impl Memory {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Freezes what reads and scans see at the present state, or lets them see every write again.
    /// Checks of transactions always see every write.
    pub fn freeze_reads(&self, frozen: bool) {
        let mut state = self.lock();
        state.seen = frozen.then(|| state.store.clone());
    }

    /// Puts a machine on the list.
    pub fn set_host(&self, host: Listed) {
        self.lock().hosts.insert(host.name.clone(), host);
    }

    /// Takes a machine off the list.
    pub fn remove_host(&self, name: &str) {
        self.lock().hosts.remove(name);
    }

    /// How many rows the table holds.
    pub fn row_count(&self) -> usize {
        self.lock().store.len()
    }
}

impl Table for Memory {
    fn read<'a>(&'a self, key: &'a RowKey) -> BoxFuture<'a, Option<Row>> {
        Box::pin(ready(Ok(self.lock().readable().read(key))))
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> BoxFuture<'a, Page> {
        Box::pin(ready(Ok(self.lock().readable().scan(scan))))
    }

    fn transact<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Receipt> {
        Box::pin(ready(self.lock().store.transact(txn)))
    }
}

impl Objects for Memory {
    fn put<'a>(&'a self, name: &'a str, bytes: Bytes) -> BoxFuture<'a, ()> {
        let mut state = self.lock();
        let known = state
            .objects
            .entry(name.to_owned())
            .or_insert_with(|| bytes.clone());
        let same = *known == bytes;
        Box::pin(ready(if same {
            Ok(())
        } else {
            Err(PlatformError::not_applied("another object has the name"))
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
