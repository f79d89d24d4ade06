//! Deletes programs whose turns nobody may go on from any more, one instance at a time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::feed::ChangeFeed;
use super::rows::{CommitReply, RowKey, RowRange, RowTransaction, RowVersion, StoredRow};
use super::store::StoreLink;
use super::turns::{LEDGER_KEY, TABLE, index_key, parse_turn_key, row_key};
use crate::core::ids::InstanceId;
use crate::core::turns::{DEFAULT_RETENTION, ProgramLedger, ProgramName};
use crate::node::platform::StoreError;

/// Table of duties that one instance at a time performs.
const DUTIES_TABLE: &str = "duties";
const SWEEP_KEY: &str = "sweep";
/// Shortest pause between two sweeps, and until routes are known.
const MIN_PACE: Duration = Duration::from_secs(1);
/// A sweep is due this often in the time that turns are kept: what has expired stays half as long
/// again at most.
const SWEEPS_PER_RETENTION: u32 = 2;
/// Kept beyond the time due: clocks of instances that were paused run behind the store's.
const MARGIN_SHARE: u32 = 2;
/// Pause between two programs that are looked at: a sweep takes at most 20 calls a second.
const PROGRAM_PAUSE: Duration = Duration::from_millis(50);
/// Rows removed in one transaction; each turn has an index row on top.
const REMOVE_CHUNK: usize = 40;

/// Who sweeps, until when by the store's clock.
#[derive(Debug, Serialize, Deserialize)]
struct SweepLease {
    holder: InstanceId,
    until_ms: u64,
}

/// The sweeping task of one instance.
pub(crate) struct ProgramSweeper {
    instance: InstanceId,
    store: Rc<StoreLink>,
    feed: Rc<ChangeFeed>,
}

impl ProgramSweeper {
    pub(crate) fn new(instance: InstanceId, store: Rc<StoreLink>, feed: Rc<ChangeFeed>) -> Self {
        Self { instance, store, feed }
    }

    /// Sweeps whenever it is due and this instance holds the lease.
    pub(crate) async fn run(self) {
        // When known programs expire, so that those are not read again before.
        let mut known: BTreeMap<ProgramName, u64> = BTreeMap::new();
        loop {
            let Some(table) = self.feed.routes() else {
                sleep(MIN_PACE).await;
                continue;
            };
            let retention = table.retention().unwrap_or(DEFAULT_RETENTION);
            let pace = (retention / SWEEPS_PER_RETENTION).max(MIN_PACE);
            sleep(pace).await;
            let margin = retention / MARGIN_SHARE;
            match self.sweep(&mut known, pace, margin).await {
                Ok(Some(removed)) if removed > 0 => log::info!("event=swept removed={removed}"),
                Ok(_) => {}
                Err(error) => log::info!("event=sweep_failed error=\"{error}\""),
            }
        }
    }

    /// One sweep; none if another instance holds the lease.
    async fn sweep(
        &self,
        known: &mut BTreeMap<ProgramName, u64>,
        pace: Duration,
        margin: Duration,
    ) -> Result<Option<usize>, StoreError> {
        if !self.take_lease(pace).await? {
            known.clear();
            return Ok(None);
        }
        let programs = self.programs().await?;
        known.retain(|program, _| programs.contains(program));
        let mut removed = 0;
        for program in programs {
            let now = self.store.now_millis();
            let due = known.get(&program).map(|until| until + margin.as_millis() as u64);
            if due.is_some_and(|due| now < due) {
                continue;
            }
            sleep(PROGRAM_PAUSE).await;
            let Some((version, until)) = self.expiry(&program).await? else { continue };
            known.insert(program.clone(), until);
            if now >= until + margin.as_millis() as u64 && self.remove(&program, version).await? {
                known.remove(&program);
                removed += 1;
            }
        }
        Ok(Some(removed))
    }

    /// Takes or renews the lease. Two holders at once would do no harm: every removal is
    /// conditional on the ledger that was read.
    async fn take_lease(&self, pace: Duration) -> Result<bool, StoreError> {
        let key =
            RowKey { table: DUTIES_TABLE.into(), partition: Box::default(), key: SWEEP_KEY.into() };
        let range = RowRange {
            table: key.table.clone(),
            partition: Box::default(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let row = self.store.range(&range).await?.rows.into_iter().find(|row| row.key == key);
        let version = row.as_ref().map_or(0, |row| row.version);
        let now_ms = self.store.now_millis();
        let held = row.and_then(|row| row.value);
        let held: Option<SweepLease> = held.and_then(|value| serde_json::from_slice(&value).ok());
        if held.is_some_and(|lease| lease.holder != self.instance && now_ms < lease.until_ms) {
            return Ok(false);
        }
        let until_ms = now_ms + 3 * pace.as_millis() as u64;
        let lease = SweepLease { holder: self.instance.clone(), until_ms };
        let value = serde_json::to_vec(&lease).expect("leases serialize").into();
        let transaction = RowTransaction {
            checks: vec![(key.clone(), version)],
            puts: vec![(key, value)],
            removals: Vec::new(),
        };
        Ok(matches!(self.store.commit(&transaction).await?, CommitReply::Committed(_)))
    }

    async fn programs(&self) -> Result<Vec<ProgramName>, StoreError> {
        let mut programs: Vec<ProgramName> = Vec::new();
        loop {
            let page = self.store.partitions(TABLE, programs.last().map(|last| &**last)).await?;
            let Some(last) = page.last().cloned() else { return Ok(programs) };
            if programs.last() == Some(&last) {
                return Ok(programs);
            }
            programs.extend(page);
        }
    }

    /// Version of a program's ledger and when it expires, in milliseconds of the store's clock.
    async fn expiry(&self, program: &ProgramName) -> Result<Option<(RowVersion, u64)>, StoreError> {
        let range = RowRange {
            table: TABLE.into(),
            partition: program.clone(),
            from: Some(LEDGER_KEY.into()),
            limit: Some(1),
        };
        let row = self.store.range(&range).await?.rows.pop();
        let Some(StoredRow { key, value: Some(value), version }) = row else { return Ok(None) };
        if &*key.key != LEDGER_KEY {
            return Ok(None);
        }
        let ledger: Option<ProgramLedger> = serde_json::from_slice(&value).ok();
        Ok(ledger.map(|ledger| (version, ledger.retained_until())))
    }

    /// Removes a program's turns, then its ledger; false if it came to life meanwhile.
    ///
    /// The ledger goes last, so that whoever stops on the way leaves something to find the rest by.
    async fn remove(&self, program: &ProgramName, version: RowVersion) -> Result<bool, StoreError> {
        let ledger = row_key(program, LEDGER_KEY);
        loop {
            let range = RowRange {
                table: TABLE.into(),
                partition: program.clone(),
                from: None,
                limit: Some(REMOVE_CHUNK),
            };
            let rows = self.store.range(&range).await?.rows;
            let mut removals: Vec<RowKey> = Vec::new();
            for row in rows.into_iter().filter(|row| row.key != ledger) {
                removals.extend(parse_turn_key(&row.key.key).map(|(turn, _)| index_key(&turn)));
                removals.push(row.key);
            }
            removals.sort();
            removals.dedup();
            let last = removals.is_empty();
            if last {
                removals.push(ledger.clone());
            }
            let checks = vec![(ledger.clone(), version)];
            let transaction = RowTransaction { checks, puts: Vec::new(), removals };
            let partitions = transaction.by_partition();
            let whole = [transaction];
            let steps =
                if self.store.supports_cross_partition() { &whole[..] } else { &partitions[..] };
            for step in steps {
                if !matches!(self.store.commit(step).await?, CommitReply::Committed(_)) {
                    return Ok(false);
                }
            }
            if last {
                return Ok(true);
            }
        }
    }
}

#[cfg(test)]
mod tests;
