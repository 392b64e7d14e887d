//! Versioned rows and transactions over them.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::{Page, PlatformError, Receipt, Row, RowKey, Scan, Txn};

/// Space, mark and key, the order of scans.
type OrderKey = (String, u64, String);

#[derive(Debug, Clone, Default)]
pub(super) struct Store {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    order: BTreeMap<OrderKey, RowKey>,
}

impl Store {
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn read(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    pub(super) fn scan(&self, scan: &Scan) -> Page {
        let mark = scan.after.as_ref().map_or(0, |p| p.mark);
        let from = (scan.space.clone(), mark, String::new());
        let after = |row: &&Row| {
            let Some(cursor) = &scan.after else {
                return true;
            };
            cursor.is_before(row.mark, &row.key.key)
        };
        let mut rows = self
            .order
            .range((Bound::Included(from), Bound::Unbounded))
            .take_while(|((space, ..), _)| *space == scan.space)
            .filter_map(|(_, key)| self.rows.get(key))
            .filter(after);
        let list = rows.by_ref().take(scan.limit).cloned().collect();
        Page {
            rows: list,
            with: scan.with.as_ref().and_then(|key| self.read(key)),
            more: rows.next().is_some(),
        }
    }

    pub(super) fn transact(&mut self, txn: &Txn) -> Result<Receipt, PlatformError> {
        for check in &txn.checks {
            let current = self.rows.get(&check.key).map(|r| r.version);
            if current != check.version {
                let key = check.key.clone();
                return Err(PlatformError::Conflict { key });
            }
        }
        self.version += 1;
        for write in &txn.writes {
            self.remove(&write.key);
            if let Some(value) = &write.value {
                self.insert(Row {
                    key: write.key.clone(),
                    version: self.version,
                    mark: write.mark,
                    attempt: txn.attempt,
                    value: value.clone(),
                });
            }
        }
        Ok(Receipt {
            version: self.version,
        })
    }

    fn insert(&mut self, row: Row) {
        self.order.insert(order_key(&row), row.key.clone());
        self.rows.insert(row.key.clone(), row);
    }

    fn remove(&mut self, key: &RowKey) {
        if let Some(old) = self.rows.remove(key) {
            self.order.remove(&order_key(&old));
        }
    }
}

fn order_key(row: &Row) -> OrderKey {
    (row.key.space.clone(), row.mark, row.key.key.clone())
}
