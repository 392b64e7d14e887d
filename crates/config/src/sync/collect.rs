//! Gathers the pages of one delta into a whole.

use wagtail_types::Epoch;

use crate::{Cursor, Page, Row};

/// A delta being read page by page while its source goes on changing.
///
/// Rows come in order of epoch and key, and a row that changes while it is read moves to the end.
/// So the union of all pages is the source's state at the last page's head, provided that no page
/// was read from an older state than the one before it.
#[derive(Debug)]
pub(crate) struct Collect {
    since: Epoch,
    base: Option<Epoch>,
    floor: Epoch,
    head: Epoch,
    after: Option<Cursor>,
    rows: Vec<Row>,
}

/// What a page brought.
#[derive(Debug)]
pub(crate) enum Step {
    /// More pages are needed.
    More,
    /// The delta is whole.
    Whole(Delta),
    /// The page does not fit those before it.
    Torn,
}

/// Every row changed between two epochs.
#[derive(Debug)]
pub(crate) struct Delta {
    /// The epoch that it builds on; zero where it is the whole configuration.
    pub(crate) since: Epoch,
    /// The epoch that it leads to.
    pub(crate) head: Epoch,
    /// The epoch up to which the source has forgotten withdrawn records.
    pub(crate) floor: Epoch,
    /// The rows.
    pub(crate) rows: Vec<Row>,
}

impl Collect {
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

    /// The epoch to ask for.
    pub(crate) fn since(&self) -> Epoch {
        self.since
    }

    /// Where to go on.
    pub(crate) fn after(&self) -> Option<&Cursor> {
        self.after.as_ref()
    }

    /// The pages so far as if they were whole, for a broken variant.
    pub(crate) fn partial(&self) -> Delta {
        Delta {
            since: self.base.unwrap_or(self.since),
            head: self.head,
            floor: self.floor,
            rows: self.rows.clone(),
        }
    }

    /// Takes a page in. With `lax`, for a broken variant, pages of older states pass.
    pub(crate) fn take(&mut self, page: Page, lax: bool) -> Step {
        if !self.fits(&page) && !lax {
            return Step::Torn;
        }
        self.base = Some(page.since);
        self.floor = page.floor;
        self.head = page.head;
        self.after = page.rows.last().map(Cursor::at).or(self.after.take());
        let stuck = page.more && page.rows.is_empty();
        self.rows.extend(page.rows);
        match (page.more, stuck) {
            (true, true) => Step::Torn,
            (true, false) => Step::More,
            (false, _) => Step::Whole(Delta {
                since: page.since,
                head: page.head,
                floor: page.floor,
                rows: std::mem::take(&mut self.rows),
            }),
        }
    }

    fn fits(&self, page: &Page) -> bool {
        let asked = page.since == self.since || page.since == Epoch(0);
        let same = self
            .base
            .is_none_or(|base| base == page.since && self.floor == page.floor);
        let start = self
            .after
            .clone()
            .unwrap_or_else(|| Cursor::after(page.since));
        asked && same && page.head >= self.head && is_ordered(page, start)
    }
}

/// Whether the rows follow `start` and one another and none is newer than the head.
pub(crate) fn is_ordered(page: &Page, start: Cursor) -> bool {
    let mut place = start;
    page.rows.iter().all(|row| {
        let follows = place.is_before(row) && row.epoch <= page.head;
        place = Cursor::at(row);
        follows
    })
}
