//! Deletes expired programs from the store, from one instance at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::feed::ChangeFeed;
use super::rows::{CommitReply, RowKey, RowRange, RowTransaction, RowVersion, StoredRow};
use super::store::StoreLink;
use super::turns::{LEDGER_KEY, PROGRAMS_TABLE, index_key, parse_turn_key, progress_key, row_key};
use crate::core::ids::InstanceId;
use crate::core::routing::RouteTable;
use crate::core::turns::{DEFAULT_RETENTION, ProgramLedger, ProgramName};
use crate::core::workspaces::resolved_name;
use crate::node::platform::StoreError;

/// Leases of jobs that one instance at a time performs.
const LEASES_TABLE: &str = "duties";
const SWEEP_KEY: &str = "sweep";
const MIN_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds the time that an expired program stays in the store.
const SWEEPS_PER_RETENTION: u32 = 2;
/// Intervals of sweeps for which a lease holds.
const LEASE_INTERVALS: u32 = 3;
/// A lease that holds for longer is of a time with a longer retention. The difference covers the clocks
/// of instances.
const MAX_LEASE_INTERVALS: u32 = 4;
/// Limits the rate of store calls during a sweep, which checks at most 20 programs per second.
const PROGRAM_DELAY: Duration = Duration::from_millis(50);
/// Excludes the index and progress rows that are removed in the same transaction.
const MAX_REMOVED_ROWS: usize = 40;
/// Entries of a transaction that removes rows, besides the check of the ledger.
const MAX_REMOVALS: usize = 96;
/// A row, its index and its progress.
const MAX_KEYS_PER_ROW: usize = 3;

#[derive(Debug, Serialize, Deserialize)]
struct SweepLease {
    holder: InstanceId,
    /// By the store's clock.
    until_ms: u64,
}

impl SweepLease {
    fn is_held(&self, now_ms: u64, interval: Duration) -> bool {
        let longest_ms = (MAX_LEASE_INTERVALS * interval).as_millis() as u64;
        (1..=longest_ms).contains(&self.until_ms.saturating_sub(now_ms))
    }
}

enum ProgramState {
    /// Version of its ledger, and its expiry in milliseconds of the store's clock.
    Retained(RowVersion, u64),
    /// It has no ledger.
    Ended,
    /// Its ledger is unreadable.
    Unknown,
}

enum ProgramOutcome {
    Removed,
    /// In milliseconds of the store's clock.
    NotDue(u64),
    Spared(&'static str),
}

/// What a sweep found, for the log.
#[derive(Debug, Default)]
struct SweepReport {
    programs: usize,
    /// Programs whose ledger was read.
    read: usize,
    removed: usize,
    /// Programs for which a call of the store failed.
    failed: usize,
    /// Of the programs that are not due, in milliseconds of the store's clock.
    next_due_ms: Option<u64>,
}

pub(crate) struct ProgramSweeper {
    instance: InstanceId,
    store: Rc<StoreLink>,
    feed: Rc<ChangeFeed>,
}

fn retention_of(table: &RouteTable) -> Duration {
    table.retention().unwrap_or(DEFAULT_RETENTION)
}

/// The rows of a program that the next transaction removes, and what refers to them.
///
/// The first row of a turn comes before its others, without which it would seem to be shorter.
pub(super) fn removed_keys(program: &ProgramName, rows: Vec<StoredRow>) -> Vec<RowKey> {
    let mut removals: BTreeSet<RowKey> = BTreeSet::new();
    for row in rows.into_iter().filter(|row| &*row.key.key != LEDGER_KEY) {
        if removals.len() + MAX_KEYS_PER_ROW > MAX_REMOVALS {
            break;
        }
        if let Some((turn, number)) = parse_turn_key(&row.key.key) {
            removals.insert(index_key(&resolved_name(&turn, program)));
            // Without its progress, a late write of the turn cannot be committed.
            removals.extend((number > 0).then(|| progress_key(program, &turn)));
        }
        removals.insert(row.key);
    }
    removals.into_iter().collect()
}

impl SweepReport {
    fn record_due(&mut self, due_ms: u64) {
        self.next_due_ms = Some(self.next_due_ms.map_or(due_ms, |next| next.min(due_ms)));
    }

    fn log(&self, now_ms: u64) {
        let Self { programs, read, removed, failed, next_due_ms } = self;
        let next =
            next_due_ms.map_or("-".into(), |due_ms| due_ms.saturating_sub(now_ms).to_string());
        let level = if *removed > 0 || *failed > 0 { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=swept removed={removed} programs={programs} read={read} failed={failed} \
             next_due_in_ms={next}"
        );
    }
}

impl ProgramSweeper {
    pub(crate) fn new(instance: InstanceId, store: Rc<StoreLink>, feed: Rc<ChangeFeed>) -> Self {
        Self { instance, store, feed }
    }

    pub(crate) async fn run(self: Rc<Self>) {
        // Programs are not read again before they expire.
        let mut expiries: BTreeMap<ProgramName, u64> = BTreeMap::new();
        let mut swept_at = Instant::now();
        loop {
            let routes_changed = self.feed.routes_changed();
            let Some(table) = self.feed.routes() else {
                routes_changed.await;
                continue;
            };
            let interval = (retention_of(&table) / SWEEPS_PER_RETENTION).max(MIN_SWEEP_INTERVAL);
            let next_at = swept_at + interval;
            let left = next_at.saturating_duration_since(Instant::now());
            log::debug!("event=sweep_scheduled in_ms={}", left.as_millis());
            tokio::select! {
                () = sleep_until(next_at) => {}
                // A shorter retention brings the next sweep forward.
                () = routes_changed => continue,
            }
            match self.sweep(&mut expiries, interval).await {
                Ok(Some(report)) => report.log(self.store.now_millis()),
                Ok(None) => {}
                Err(error) => log::info!("event=sweep_failed error=\"{error}\""),
            }
            swept_at = Instant::now();
        }
    }

    /// Returns `None` if another instance holds the lease.
    async fn sweep(
        &self,
        expiries: &mut BTreeMap<ProgramName, u64>,
        interval: Duration,
    ) -> Result<Option<SweepReport>, StoreError> {
        if !self.acquire_lease(interval).await? {
            expiries.clear();
            return Ok(None);
        }
        let programs = self.programs().await?;
        expiries.retain(|program, _| programs.contains(program));
        let mut report = SweepReport { programs: programs.len(), ..SweepReport::default() };
        for program in programs {
            let due = expiries.get(&program).and_then(|expiry| self.deferral(*expiry));
            if let Some(due) = due {
                report.record_due(due);
                continue;
            }
            sleep(PROGRAM_DELAY).await;
            report.read += 1;
            match self.sweep_program(&program, expiries).await {
                Ok(ProgramOutcome::Removed) => {
                    expiries.remove(&program);
                    report.removed += 1;
                }
                Ok(ProgramOutcome::NotDue(due)) => report.record_due(due),
                Ok(ProgramOutcome::Spared(reason)) => {
                    log::info!("event=sweep_spared program={program} reason={reason}");
                }
                // The store may fail for this program alone.
                Err(error) => {
                    if report.failed == 0 {
                        log::info!("event=sweep_failed program={program} error=\"{error}\"");
                    }
                    report.failed += 1;
                    self.await_store(error).await?;
                }
            }
        }
        Ok(Some(report))
    }

    /// When a program may be removed, in milliseconds of the store's clock.
    ///
    /// An expiry is by the retention at its time. The retention that is now in force, counted from then,
    /// covers turns for which it is longer, and instances that were paused, whose clocks run behind the
    /// store's.
    fn due_ms(&self, expiry: u64) -> u64 {
        let retention = self.feed.routes().map_or(DEFAULT_RETENTION, |table| retention_of(&table));
        expiry + retention.as_millis() as u64
    }

    /// The time until which a program may not be removed yet.
    fn deferral(&self, expiry: u64) -> Option<u64> {
        Some(self.due_ms(expiry)).filter(|due| self.store.now_millis() < *due)
    }

    /// Fails with `error` if the store stays unavailable, or gets more writes than it takes.
    async fn await_store(&self, error: StoreError) -> Result<(), StoreError> {
        if self.store.is_over_rate() {
            return Err(error);
        }
        timeout(MIN_SWEEP_INTERVAL, self.store.reachable()).await.map_err(|_| error)
    }

    async fn sweep_program(
        &self,
        program: &ProgramName,
        expiries: &mut BTreeMap<ProgramName, u64>,
    ) -> Result<ProgramOutcome, StoreError> {
        match self.state(program).await? {
            ProgramState::Retained(version, expiry) => {
                expiries.insert(program.clone(), expiry);
                if let Some(due) = self.deferral(expiry) {
                    return Ok(ProgramOutcome::NotDue(due));
                }
                // A longer retention may have come into force that this instance does not know yet.
                if !self.feed.refresh_routes().await {
                    return Ok(ProgramOutcome::Spared("routes_unknown"));
                }
                if let Some(due) = self.deferral(expiry) {
                    return Ok(ProgramOutcome::NotDue(due));
                }
                if !self.remove_ledger(program, version).await? {
                    return Ok(ProgramOutcome::Spared("used"));
                }
            }
            ProgramState::Ended => {}
            ProgramState::Unknown => return Ok(ProgramOutcome::Spared("unreadable")),
        }
        Ok(match self.remove_rows(program).await? {
            true => ProgramOutcome::Removed,
            false => ProgramOutcome::Spared("recreated"),
        })
    }

    /// Acquires or renews the lease. Two holders at once do no harm: every removal is conditional on
    /// the ledger that was read.
    async fn acquire_lease(&self, interval: Duration) -> Result<bool, StoreError> {
        let key =
            RowKey { table: LEASES_TABLE.into(), partition: Box::default(), key: SWEEP_KEY.into() };
        let range = RowRange {
            table: key.table.clone(),
            partition: Box::default(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let row = self.store.range(&range).await?.rows.into_iter().find(|row| row.key == key);
        let version = row.as_ref().map_or(0, |row| row.version);
        let now_ms = self.store.now_millis();
        let current = row.and_then(|row| row.value);
        let current: Option<SweepLease> =
            current.and_then(|value| serde_json::from_slice(&value).ok());
        let other = current.filter(|lease| lease.holder != self.instance);
        if let Some(lease) = other.filter(|lease| lease.is_held(now_ms, interval)) {
            let left_ms = lease.until_ms - now_ms;
            log::debug!("event=sweep_skipped holder={} left_ms={left_ms}", lease.holder);
            return Ok(false);
        }
        let until_ms = now_ms + (LEASE_INTERVALS * interval).as_millis() as u64;
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
            let page =
                self.store.partitions(PROGRAMS_TABLE, programs.last().map(|last| &**last)).await?;
            let Some(last) = page.last().cloned() else { return Ok(programs) };
            if programs.last() == Some(&last) {
                return Ok(programs);
            }
            programs.extend(page);
        }
    }

    async fn state(&self, program: &ProgramName) -> Result<ProgramState, StoreError> {
        let range = RowRange {
            table: PROGRAMS_TABLE.into(),
            partition: program.clone(),
            from: Some(LEDGER_KEY.into()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await?;
        let row = reply.rows.into_iter().find(|row| &*row.key.key == LEDGER_KEY);
        let Some(StoredRow { value: Some(value), version, .. }) = row else {
            return Ok(ProgramState::Ended);
        };
        match serde_json::from_slice::<ProgramLedger>(&value) {
            Ok(ledger) => Ok(ProgramState::Retained(version, ledger.retained_until())),
            Err(error) => {
                log::error!("event=ledger_unreadable program={program} error=\"{error}\"");
                Ok(ProgramState::Unknown)
            }
        }
    }

    /// False if the program was used meanwhile.
    ///
    /// The ledger is removed first: each turn writes it under a condition, so from then on no turn
    /// continues from rows that are being removed.
    async fn remove_ledger(
        &self,
        program: &ProgramName,
        version: RowVersion,
    ) -> Result<bool, StoreError> {
        let ledger = row_key(program, LEDGER_KEY);
        let transaction = RowTransaction {
            checks: vec![(ledger.clone(), version)],
            puts: Vec::new(),
            removals: vec![ledger],
        };
        let reply = self.store.commit(&transaction).await?;
        Ok(matches!(reply, CommitReply::Committed(_)))
    }

    /// Removes the turns of a program without a ledger; false if it has one again. The next sweep finds
    /// what an interruption leaves.
    async fn remove_rows(&self, program: &ProgramName) -> Result<bool, StoreError> {
        loop {
            let range = RowRange {
                table: PROGRAMS_TABLE.into(),
                partition: program.clone(),
                from: None,
                limit: Some(MAX_REMOVED_ROWS),
            };
            let rows = self.store.range(&range).await?.rows;
            if rows.is_empty() {
                return Ok(true);
            }
            // Without transactions over partitions, the index is removed under no condition.
            if rows.iter().any(|row| &*row.key.key == LEDGER_KEY) {
                return Ok(false);
            }
            let removals = removed_keys(program, rows);
            let checks = vec![(row_key(program, LEDGER_KEY), 0)];
            let transaction = RowTransaction { checks, puts: Vec::new(), removals };
            let partitions = transaction.by_partition();
            let single = [transaction];
            let steps =
                if self.store.supports_cross_partition() { &single[..] } else { &partitions[..] };
            for step in steps {
                if !matches!(self.store.commit(step).await?, CommitReply::Committed(_)) {
                    return Ok(false);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
