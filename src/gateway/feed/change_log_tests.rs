//! Guards against a follower whose rows differ from those of its reader.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;
use tokio::time::Instant;

use super::change_log::ChangeLog;
use crate::gateway::rows::{RowKey, StoredRow};

fn row(name: u8, version: u64, present: bool) -> StoredRow {
    let key = RowKey { table: "t".into(), partition: "".into(), key: name.to_string().into() };
    let value = present.then(|| Bytes::from(version.to_string()));
    StoredRow { key, value, version }
}

#[derive(Default)]
struct Follower {
    after: u64,
    rows: BTreeMap<Box<str>, StoredRow>,
}

impl Follower {
    fn poll(&mut self, log: &ChangeLog) {
        let mut continues = false;
        loop {
            let page = log.since(self.after, continues);
            if page.complete {
                self.rows.clear();
            }
            let last = page.rows.last().map(|row| row.version);
            for row in page.rows {
                match row.value {
                    Some(_) => self.rows.insert(row.key.key.clone(), row),
                    None => self.rows.remove(&row.key.key),
                };
            }
            continues = page.more;
            if !page.more {
                break;
            }
            self.after = last.expect("a page that is not the last has rows");
        }
        self.after = log.head();
    }
}

proptest! {
    /// Guards against changes that are lost between polls or when the table is replaced.
    #[test]
    fn follower_rows_match_the_log_after_any_changes(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..8), 1..60)
    ) {
        let mut log = ChangeLog::default();
        let mut expected: BTreeMap<Box<str>, StoredRow> = BTreeMap::new();
        let mut follower = Follower::default();
        let now = Instant::now();
        log.replace(Vec::new(), 1, now);
        for (number, (name, present, action)) in steps.into_iter().enumerate() {
            let version = number as u64 + 2;
            let changed = row(name, version, present);
            match present {
                true => expected.insert(changed.key.key.clone(), changed.clone()),
                false => expected.remove(&changed.key.key),
            };
            match action {
                0 => log.replace(expected.values().cloned().collect(), version, now),
                _ => log.put(changed),
            }
            log.advance(version, now);
            if action % 3 == 1 {
                follower.poll(&log);
                prop_assert_eq!(&follower.rows, &expected);
            }
        }
        follower.poll(&log);
        prop_assert_eq!(&follower.rows, &expected);
    }
}

/// Guards against a follower that keeps removed rows because the log evicted their removals.
#[test]
fn follower_behind_evicted_removals_gets_all_rows() {
    let mut log = ChangeLog::default();
    log.replace(vec![row(0, 1, true)], 1, Instant::now());
    for version in 2..5_000 {
        let key =
            RowKey { table: "t".into(), partition: "".into(), key: version.to_string().into() };
        log.put(StoredRow { key, value: None, version });
    }
    log.advance(5_000, Instant::now());
    let page = log.since(1, false);
    assert!(page.complete);
    assert_eq!(page.rows, [row(0, 1, true)]);
    assert_eq!(log.since(5_000, false).rows, []);
}

/// Guards against a list of upstreams that outgrows one message.
#[test]
fn long_table_is_sent_in_pages() {
    let rows = |from: u64| (from..=1_700).map(|name| long_row(name, name)).collect::<Vec<_>>();
    let mut log = ChangeLog::default();
    log.replace(rows(1), 1_700, Instant::now());
    let first = log.since(0, false);
    assert!(first.complete && first.more);
    assert!(first.rows.len() < 600, "{} rows", first.rows.len());
    let mut follower = Follower::default();
    follower.poll(&log);
    assert_eq!(follower.rows.len(), 1_700);
}

/// Guards against sending all rows to all followers whenever the store drops its history.
#[test]
fn replaced_table_is_sent_as_its_difference() {
    let mut log = ChangeLog::default();
    log.replace((1..=1_700).map(|name| long_row(name, name)).collect(), 1_700, Instant::now());
    let mut rows: Vec<_> = (2..=1_700).map(|name| long_row(name, name)).collect();
    rows[5] = long_row(7, 1_701);
    log.replace(rows, 1_702, Instant::now());
    let page = log.since(1_700, false);
    let changes: Vec<_> =
        page.rows.iter().map(|row| (&*row.key.key, row.value.is_some())).collect();
    assert_eq!((page.complete, changes), (false, vec![("7", true), ("1", false)]));
}

/// Guards against a late reply that overwrites a newer row.
#[test]
fn older_version_of_a_row_is_ignored() {
    let mut log = ChangeLog::default();
    log.replace(vec![long_row(1, 5)], 5, Instant::now());
    log.put(long_row(1, 7));
    log.put(long_row(1, 6));
    log.advance(7, Instant::now());
    assert_eq!(log.since(5, false).rows, [long_row(1, 7)]);
}

fn long_row(name: u64, version: u64) -> StoredRow {
    let key = RowKey { table: "t".into(), partition: "".into(), key: name.to_string().into() };
    StoredRow { key, value: Some(Bytes::from(version.to_string())), version }
}
