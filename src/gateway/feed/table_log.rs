//! What an instance can tell others of a table that it follows.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::rows::{RowKey, RowVersion, StoredRow};

/// Removals remembered. Whoever asks from before a forgotten one gets all rows instead; 4,096 outlast
/// 20 s in which 200 rows go each second.
const MAX_REMOVALS: usize = 4_096;

/// Most rows in one page.
const PAGE_ROWS: usize = 500;

type RowName = Box<str>;

/// What a follower that knows the table up to some version is to be told.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct NewsPage {
    /// Whether these are all rows, so that others are gone.
    pub(super) whole: bool,
    /// Whether more rows follow the last one.
    pub(super) more: bool,
    pub(super) rows: Vec<StoredRow>,
}

/// The newest rows of a table, in the order of their changes.
#[derive(Debug, Default)]
pub(super) struct NewsLog {
    rows: BTreeMap<(RowVersion, RowName), StoredRow>,
    newest: HashMap<RowName, RowVersion>,
    removals: usize,
    /// All changes after this version are here.
    floor: RowVersion,
    /// All changes up to this version are here.
    head: RowVersion,
    /// When the store was asked that last confirmed the head.
    confirmed: Option<Instant>,
}

impl NewsLog {
    pub(super) fn head(&self) -> RowVersion {
        self.head
    }

    /// How long ago the store was asked; none if it never was.
    pub(super) fn age(&self) -> Option<Duration> {
        self.confirmed.map(|at| at.elapsed())
    }

    /// Takes all rows that there are at a version. Those that are as they were are no news, so whoever
    /// follows is told of the difference only.
    pub(super) fn replace(&mut self, rows: Vec<StoredRow>, head: RowVersion, asked: Instant) {
        let is_first = self.confirmed.is_none();
        let listed: HashSet<RowName> = rows.iter().map(|row| row.key.key.clone()).collect();
        let former = self.rows.values().filter(|row| row.value.is_some());
        let gone: Vec<RowKey> = former
            .filter(|row| !listed.contains(&row.key.key))
            .map(|row| row.key.clone())
            .collect();
        for key in gone {
            self.put(StoredRow { key, value: None, version: head });
        }
        for row in rows {
            self.put(row);
        }
        if is_first {
            self.floor = head;
        }
        self.advance(head, asked);
    }

    /// Takes a row that is newer than what is known of it.
    pub(super) fn put(&mut self, row: StoredRow) {
        let name = row.key.key.clone();
        // Two questions may be answered in the other order.
        if self.newest.get(&name).is_some_and(|known| *known >= row.version) {
            return;
        }
        if let Some(former) = self.newest.insert(name.clone(), row.version) {
            self.forget(&(former, name.clone()));
        }
        self.removals += usize::from(row.value.is_none());
        self.rows.insert((row.version, name), row);
        while self.removals > MAX_REMOVALS {
            self.forget_oldest_removal();
        }
    }

    fn forget(&mut self, place: &(RowVersion, RowName)) {
        let former = self.rows.remove(place);
        self.removals -= usize::from(former.is_some_and(|row| row.value.is_none()));
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.rows.iter().find(|(_, row)| row.value.is_none());
        let Some((place, _)) = oldest.map(|(place, row)| (place.clone(), row)) else { return };
        self.forget(&place);
        self.newest.remove(&place.1);
        self.floor = self.floor.max(place.0);
    }

    /// Notes that all changes up to a version are here, as the store was asked then.
    pub(super) fn advance(&mut self, head: RowVersion, asked: Instant) {
        self.head = self.head.max(head);
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// What a follower is to be told that knows all changes up to `after`, or that goes on from there
    /// with a page of all rows.
    pub(super) fn since(&self, after: RowVersion, continues: bool) -> NewsPage {
        let whole = after < self.floor && !continues;
        let from = if whole { 0 } else { after + 1 };
        let rows = self.rows.range((from, RowName::default())..).map(|(_, row)| row);
        let mut rows = rows.filter(|row| !whole || row.value.is_some()).peekable();
        let mut page = Vec::new();
        while let Some(row) = rows.next() {
            // Rows of one version are not parted, as the next page begins after it.
            let parts = rows.peek().is_some_and(|next| next.version > row.version);
            page.push(row.clone());
            if page.len() >= PAGE_ROWS && parts {
                return NewsPage { whole, more: true, rows: page };
            }
        }
        NewsPage { whole, more: false, rows: page }
    }
}
