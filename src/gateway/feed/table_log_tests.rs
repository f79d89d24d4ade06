//! Whatever changes a reader's log takes, a follower that hears of them now and then has the same rows.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;
use tokio::time::Instant;

use super::table_log::NewsLog;
use crate::gateway::rows::{RowKey, StoredRow};

fn row(name: u8, version: u64, present: bool) -> StoredRow {
    let key = RowKey { table: "t".into(), partition: "".into(), key: name.to_string().into() };
    let value = present.then(|| Bytes::from(version.to_string()));
    StoredRow { key, value, version }
}

/// What a follower knows.
#[derive(Default)]
struct Follower {
    after: u64,
    rows: BTreeMap<Box<str>, StoredRow>,
}

impl Follower {
    fn ask(&mut self, log: &NewsLog) {
        let mut continues = false;
        loop {
            let page = log.since(self.after, continues);
            if page.whole {
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
    /// Rows come and go, the log is read anew at times, and a follower asks at any moment.
    #[test]
    fn a_follower_has_the_readers_rows(
        steps in prop::collection::vec((0_u8..6, any::<bool>(), 0_u8..8), 1..60)
    ) {
        let mut log = NewsLog::default();
        let mut truth: BTreeMap<Box<str>, StoredRow> = BTreeMap::new();
        let mut follower = Follower::default();
        let now = Instant::now();
        log.replace(Vec::new(), 1, now);
        for (number, (name, present, then)) in steps.into_iter().enumerate() {
            let version = number as u64 + 2;
            let changed = row(name, version, present);
            match present {
                true => truth.insert(changed.key.key.clone(), changed.clone()),
                false => truth.remove(&changed.key.key),
            };
            match then {
                0 => log.replace(truth.values().cloned().collect(), version, now),
                _ => log.put(changed),
            }
            log.advance(version, now);
            if then % 3 == 1 {
                follower.ask(&log);
                prop_assert_eq!(&follower.rows, &truth);
            }
        }
        follower.ask(&log);
        prop_assert_eq!(&follower.rows, &truth);
    }
}

/// So many rows go that the oldest removals are forgotten. A follower that missed them gets all rows,
/// and so loses those that went; one that is up to date gets nothing.
#[test]
fn a_follower_that_missed_forgotten_removals_gets_all_rows() {
    let mut log = NewsLog::default();
    log.replace(vec![row(0, 1, true)], 1, Instant::now());
    for version in 2..5_000 {
        let key =
            RowKey { table: "t".into(), partition: "".into(), key: version.to_string().into() };
        log.put(StoredRow { key, value: None, version });
    }
    log.advance(5_000, Instant::now());
    let late = log.since(1, false);
    assert!(late.whole);
    assert_eq!(late.rows, [row(0, 1, true)]);
    assert_eq!(log.since(5_000, false).rows, []);
}

/// Guards against a list of upstreams that grows beyond what one message holds.
#[test]
fn a_long_list_is_told_in_pages() {
    let rows = |from: u64| (from..=1_700).map(|name| long_row(name, name)).collect::<Vec<_>>();
    let mut log = NewsLog::default();
    log.replace(rows(1), 1_700, Instant::now());
    let first = log.since(0, false);
    assert!(first.whole && first.more);
    assert!(first.rows.len() < 600, "{} rows", first.rows.len());
    let mut follower = Follower::default();
    follower.ask(&log);
    assert_eq!(follower.rows.len(), 1_700);
}

/// Guards against a reader that tells everybody everything whenever the store drops its history.
#[test]
fn a_list_read_anew_is_told_by_its_difference() {
    let mut log = NewsLog::default();
    log.replace((1..=1_700).map(|name| long_row(name, name)).collect(), 1_700, Instant::now());
    let mut rows: Vec<_> = (2..=1_700).map(|name| long_row(name, name)).collect();
    rows[5] = long_row(7, 1_701);
    log.replace(rows, 1_702, Instant::now());
    let page = log.since(1_700, false);
    let told: Vec<_> = page.rows.iter().map(|row| (&*row.key.key, row.value.is_some())).collect();
    assert_eq!((page.whole, told), (false, vec![("7", true), ("1", false)]));
}

/// Guards against a late answer that takes back a newer row, which followers would never hear of.
#[test]
fn an_older_row_changes_nothing() {
    let mut log = NewsLog::default();
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
