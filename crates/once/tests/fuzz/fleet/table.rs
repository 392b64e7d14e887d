//! A fake table service that stores claims.

use wagtail_once::{ClaimResult, ClaimRow, Input};
use wagtail_types::{AttemptId, HostId, Incarnation};

use super::op::TableFault;
use super::{Fleet, TableOp};

impl Fleet {
    pub(super) fn insert_row(&mut self, claim: AttemptId, row: &ClaimRow) -> ClaimResult {
        let key = format!("{}/{}/{}", row.team, row.service, row.key);
        let held = self
            .rows
            .entry(key)
            .or_insert_with(|| (claim, row.host.clone(), row.incarnation));
        claim_result(claim, held)
    }

    pub(super) fn complete_table_op(&mut self, op: u8, fault: TableFault) {
        if self.table_ops.is_empty() {
            return;
        }
        let at = usize::from(op) % self.table_ops.len();
        let TableOp {
            node,
            claim,
            row,
            read,
        } = self.table_ops.swap_remove(at);
        let key = format!("{}/{}/{}", row.team, row.service, row.key);
        let serve = |fleet: &mut Self| {
            if read {
                let held = fleet.rows.get(&key);
                held.map_or(ClaimResult::Absent, |held| claim_result(claim, held))
            } else {
                fleet.insert_row(claim, &row)
            }
        };
        let results = match fault {
            TableFault::None => vec![serve(self)],
            TableFault::Repeat => vec![serve(self); 2],
            TableFault::LostAnswer => {
                serve(self);
                vec![ClaimResult::Unknown]
            }
            TableFault::LostCall => vec![ClaimResult::Unknown],
            TableFault::DelayedWrite => {
                self.delayed_writes.extend((!read).then_some((claim, row)));
                vec![ClaimResult::Unknown]
            }
            TableFault::Down => vec![ClaimResult::Unavailable],
        };
        for result in results {
            if let Some(node) = self.nodes[node].as_mut() {
                node.dedup
                    .handle(self.now, Input::Claimed { claim, result });
            }
        }
    }
}

fn claim_result(claim: AttemptId, held: &(AttemptId, HostId, Incarnation)) -> ClaimResult {
    let (by, host, incarnation) = held;
    if *by == claim {
        ClaimResult::Applied
    } else {
        ClaimResult::AlreadyHeldBy {
            host: host.clone(),
            incarnation: *incarnation,
        }
    }
}
