//! A log of the changes of one table, from which a reader serves its followers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::rows::{RowKey, RowVersion, StoredRow};

/// Removals kept in the log. A follower that is behind an evicted one gets all rows instead, so the
/// log has to cover a burst of removals while a follower is cut off: 4,096 cover 20 s of 200 per
/// second.
const MAX_REMOVALS: usize = 4_096;

/// A page ends at the first change of version after this many rows.
const PAGE_ROWS: usize = 500;

type RowName = Box<str>;

#[derive(Debug, PartialEq, Eq)]
pub(super) struct ChangePage {
    /// The page holds, or starts, all rows of the table: rows that are not listed no longer exist.
    pub(super) complete: bool,
    pub(super) more: bool,
    pub(super) rows: Vec<StoredRow>,
}

/// The newest version of each row, in the order of changes.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    rows: BTreeMap<(RowVersion, RowName), StoredRow>,
    newest: HashMap<RowName, RowVersion>,
    removals: usize,
    /// The log holds all changes after this version.
    floor: RowVersion,
    /// The log holds all changes up to this version.
    head: RowVersion,
    /// Time of the store request that last confirmed `head`.
    confirmed_at: Option<Instant>,
}

impl ChangeLog {
    pub(super) fn head(&self) -> RowVersion {
        self.head
    }

    /// Time since the request that confirmed `head`; `None` before the first.
    pub(super) fn age(&self) -> Option<Duration> {
        self.confirmed_at.map(|at| at.elapsed())
    }

    /// Replaces the table by its rows as of `head`. Unchanged rows keep their positions, so
    /// followers get only the difference.
    pub(super) fn replace(&mut self, rows: Vec<StoredRow>, head: RowVersion, requested: Instant) {
        let is_first = self.confirmed_at.is_none();
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
        self.advance(head, requested);
    }

    /// Records a row unless a version at least as new is known.
    pub(super) fn put(&mut self, row: StoredRow) {
        let name = row.key.key.clone();
        // Replies to two requests may arrive out of order.
        if self.newest.get(&name).is_some_and(|known| *known >= row.version) {
            return;
        }
        if let Some(former) = self.newest.insert(name.clone(), row.version) {
            self.remove(&(former, name.clone()));
        }
        self.removals += usize::from(row.value.is_none());
        self.rows.insert((row.version, name), row);
        while self.removals > MAX_REMOVALS {
            self.evict_oldest_removal();
        }
    }

    fn remove(&mut self, position: &(RowVersion, RowName)) {
        let former = self.rows.remove(position);
        self.removals -= usize::from(former.is_some_and(|row| row.value.is_none()));
    }

    fn evict_oldest_removal(&mut self) {
        let oldest = self.rows.iter().find(|(_, row)| row.value.is_none());
        let Some((position, _)) = oldest.map(|(position, row)| (position.clone(), row)) else {
            return;
        };
        self.remove(&position);
        self.newest.remove(&position.1);
        self.floor = self.floor.max(position.0);
    }

    /// Marks the log as complete up to `head`, as of the request to the store.
    pub(super) fn advance(&mut self, head: RowVersion, requested: Instant) {
        self.head = self.head.max(head);
        self.confirmed_at = self.confirmed_at.max(Some(requested));
    }

    /// Changes after `after`, or all rows if the log does not reach back that far. With
    /// `continues`, the next page of all rows after that version.
    pub(super) fn since(&self, after: RowVersion, continues: bool) -> ChangePage {
        let complete = after < self.floor && !continues;
        let from = if complete { 0 } else { after + 1 };
        let rows = self.rows.range((from, RowName::default())..).map(|(_, row)| row);
        let mut rows = rows.filter(|row| !complete || row.value.is_some()).peekable();
        let mut page = Vec::new();
        while let Some(row) = rows.next() {
            // Rows of one version stay together: the next page starts after that version.
            let ends_version = rows.peek().is_some_and(|next| next.version > row.version);
            page.push(row.clone());
            if page.len() >= PAGE_ROWS && ends_version {
                return ChangePage { complete, more: true, rows: page };
            }
        }
        ChangePage { complete, more: false, rows: page }
    }
}
