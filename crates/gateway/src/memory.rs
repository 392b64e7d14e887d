//! The budget for the memory of what a host holds for requests: bodies, and responses that wait to be sent.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use wagtail_types::{Bytes, TeamId};

/// The part of the process's memory that bodies and responses may take. The rest is for the program itself, the
/// buffers of connections, and memory that the allocator has not returned.
const BUDGET_PART: f64 = 0.6;
/// The part of the budget that only small requests may use.
const RESERVE_PART: f64 = 0.15;
/// The size of the largest request that may use the reserve.
const SMALL_MAX_BYTES: usize = 64 << 10;

/// The error for a request that the budget has no room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// The memory that is held for requests, in bytes.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// The budget, and the part of it that requests of any size may use.
    total: usize,
    shared: usize,
    held: Cell<usize>,
    by_team: RefCell<HashMap<Option<TeamId>, usize>>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this much memory.
    pub(crate) fn new(memory: Bytes) -> Rc<Self> {
        let total = memory.part(BUDGET_PART);
        Rc::new(Self {
            total: total.as_usize(),
            shared: total.part(1.0 - RESERVE_PART).as_usize(),
            held: Cell::new(0),
            by_team: RefCell::default(),
        })
    }

    /// Creates a claim of a team that holds nothing; no team stands for requests without one.
    pub(crate) fn claim(self: &Rc<Self>, team: Option<&TeamId>) -> Claim {
        Claim {
            budget: self.clone(),
            team: team.cloned(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns whether a claim of a team may grow from `bytes` by `more`. For large requests a team may hold half of
    /// what is shared, or one claim of any size; small ones may use the reserve, unless their team alone holds all
    /// that is shared.
    fn has_room(&self, team: Option<&TeamId>, bytes: usize, more: usize) -> bool {
        let held = self.held.get() + more;
        let teams = self.by_team.borrow();
        let by_team = teams.get(&team.cloned()).copied().unwrap_or_default();
        if bytes + more <= SMALL_MAX_BYTES {
            return held <= self.total && by_team + more <= self.shared;
        }
        held <= self.shared && (by_team + more <= self.shared / 2 || by_team <= bytes)
    }

    fn change(&self, team: Option<&TeamId>, change: impl Fn(usize) -> usize) {
        self.held.set(change(self.held.get()));
        let mut teams = self.by_team.borrow_mut();
        let by_team = teams.entry(team.cloned()).or_default();
        *by_team = change(*by_team);
        if *by_team == 0 {
            teams.remove(&team.cloned());
        }
    }
}

/// Memory that is held for a request until it is dropped.
#[derive(Debug)]
pub(crate) struct Claim {
    budget: Rc<MemoryBudget>,
    team: Option<TeamId>,
    bytes: usize,
}

impl Claim {
    /// Holds more bytes.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if the budget does not allow it.
    pub(crate) fn grow(&mut self, more: usize) -> Result<(), NoRoom> {
        let team = self.team.as_ref();
        if !self.budget.has_room(team, self.bytes, more) {
            return Err(NoRoom);
        }
        self.add(more);
        Ok(())
    }

    /// Holds more bytes, whatever the budget, for what exists already.
    pub(crate) fn add(&mut self, more: usize) {
        self.budget.change(self.team.as_ref(), |held| held + more);
        self.bytes += more;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let bytes = self.bytes;
        self.budget
            .change(self.team.as_ref(), |held| held.saturating_sub(bytes));
    }
}
