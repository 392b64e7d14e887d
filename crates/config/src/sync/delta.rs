//! Assembles a delta from its pages.

use wagtail_types::Epoch;

use crate::{Cursor, Page, Row};

/// Assembles a delta that is read page by page while its source keeps changing.
///
/// Rows come in order of epoch and key, so that a row that changes during the read moves to the
/// end. The union of all pages is therefore the source's state at the head of the last page,
/// provided that no page was read from an older state than the page before it.
#[derive(Debug)]
pub(crate) struct DeltaBuilder {
    /// The epoch that was asked for.
    since: Epoch,
    /// The epoch that the pages build on: `since`, or zero if the source sends everything.
    base: Option<Epoch>,
    floor: Epoch,
    head: Epoch,
    after: Option<Cursor>,
    rows: Vec<Row>,
}

/// Tells what to do after a page was added.
#[derive(Debug)]
pub(crate) enum Progress {
    /// More pages are needed.
    More,
    /// The delta is complete.
    Complete(Delta),
    /// The page does not continue the earlier ones, or is empty although more rows should follow;
    /// the delta cannot be completed.
    Inconsistent,
}

/// Holds every row changed between two epochs.
#[derive(Debug)]
pub(crate) struct Delta {
    /// The epoch that the rows build on; zero if they are the whole configuration.
    pub(crate) since: Epoch,
    /// The epoch that the rows lead to.
    pub(crate) head: Epoch,
    /// The epoch up to which the source may have dropped withdrawn records.
    pub(crate) floor: Epoch,
    /// The rows in order of epoch and key; a record that changed during the read may occur twice.
    pub(crate) rows: Vec<Row>,
}

impl DeltaBuilder {
    pub(crate) fn new(since: Epoch) -> Self {
        Self {
            since,
            base: None,
            floor: Epoch(0),
            head: since,
            after: None,
            rows: Vec::new(),
        }
    }

    /// Returns the epoch whose later changes are to be read.
    pub(crate) fn since(&self) -> Epoch {
        self.since
    }

    /// Returns the row to resume after; `None` before the first row.
    pub(crate) fn after(&self) -> Option<&Cursor> {
        self.after.as_ref()
    }

    /// Returns the pages so far as if they were complete, for [`Mutant`](super::Mutant) only.
    pub(crate) fn partial(&self) -> Delta {
        Delta {
            since: self.base.unwrap_or(self.since),
            head: self.head,
            floor: self.floor,
            rows: self.rows.clone(),
        }
    }

    /// Adds a page. With `unchecked`, which only [`Mutant`](super::Mutant) sets, pages that do not
    /// continue the earlier ones are accepted.
    pub(crate) fn add_page(&mut self, page: Page, unchecked: bool) -> Progress {
        if !self.continues(&page) && !unchecked {
            return Progress::Inconsistent;
        }
        self.base = Some(page.since);
        self.floor = page.floor;
        self.head = page.head;
        self.after = page
            .rows
            .last()
            .map(Cursor::after_row)
            .or(self.after.take());
        let stuck = page.more && page.rows.is_empty();
        self.rows.extend(page.rows);
        match (page.more, stuck) {
            (true, true) => Progress::Inconsistent,
            (true, false) => Progress::More,
            (false, _) => Progress::Complete(Delta {
                since: page.since,
                head: page.head,
                floor: page.floor,
                rows: std::mem::take(&mut self.rows),
            }),
        }
    }

    fn continues(&self, page: &Page) -> bool {
        let builds = page.since == self.since || page.since == Epoch(0);
        let same = self
            .base
            .is_none_or(|base| base == page.since && self.floor == page.floor);
        let start = self
            .after
            .clone()
            .unwrap_or_else(|| Cursor::after_epoch(page.since));
        builds && same && page.head >= self.head && is_ordered(page, start)
    }
}

/// Returns whether the rows are in order, come after `start` and are no newer than the head.
pub(crate) fn is_ordered(page: &Page, start: Cursor) -> bool {
    let mut cursor = start;
    page.rows.iter().all(|row| {
        let follows = cursor.is_before(row) && row.epoch <= page.head;
        cursor = Cursor::after_row(row);
        follows
    })
}
