//! Maps the ledgers and turns of programs to rows of the store.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use tokio::time::Instant;

use super::TurnManager;
use crate::core::turns::{
    ChainEntry, ProgramLedger, ProgramName, RecordWrite, StoredRows, TurnId, TurnRecord,
    WriteLimits, WriteProgress, WriteStep,
};
use crate::core::workspaces::resolved_name;
use crate::gateway::committer::{MAX_ENCODED_BYTES, MAX_TRANSACTION_ROWS};
use crate::gateway::rows::{RowKey, RowTransaction, RowVersion, StoredRow};

/// Each program is a partition of this table.
pub(crate) const PROGRAMS_TABLE: &str = "programs";
const TURN_INDEX_TABLE: &str = "turn-programs";
/// Sorts before the keys of turns.
pub(crate) const LEDGER_KEY: &str = "ledger";
/// Keys of turns have the form `t/TURN/NUMBER`, numbered by row of the record.
const TURN_KEY_PREFIX: &str = "t/";
/// Keys of the progress of a turn's write have the form `w/TURN`. Releases that store a record in one
/// transaction ignore them.
const PROGRESS_KEY_PREFIX: &str = "w/";
/// Part of a row that the store needs for its own fields.
const ROW_OVERHEAD_BYTES: usize = 256;
/// Lets a transaction hold two rows, whatever the store accepts as one.
const MAX_ROW_BYTES: usize = 256 * 1024;
/// Part of an entry of a transaction that is neither names nor value.
const ENTRY_OVERHEAD_BYTES: usize = 128;
/// Growth of a name of printable characters by their escapes in a transaction.
const MAX_ESCAPE_FACTOR: usize = 2;
/// Checks of the first row and the progress, and writes of the index and the progress.
const MAX_EXTRA_ROWS: usize = 4;

pub(crate) fn row_key(program: &ProgramName, key: &str) -> RowKey {
    RowKey { table: PROGRAMS_TABLE.into(), partition: program.clone(), key: key.into() }
}

fn turn_key(program: &ProgramName, turn: &TurnId, number: usize) -> RowKey {
    row_key(program, &format!("{}{number}", turn_key_prefix(turn)))
}

/// Begins the keys of all rows of a turn.
pub(super) fn turn_key_prefix(turn: &TurnId) -> Box<str> {
    format!("{TURN_KEY_PREFIX}{turn}/").into()
}

/// The row that states how far a turn of several transactions is written.
pub(crate) fn progress_key(program: &ProgramName, turn: &TurnId) -> RowKey {
    row_key(program, &format!("{PROGRESS_KEY_PREFIX}{turn}"))
}

/// Each index row has a partition of its own, since the store serializes transactions of one partition.
pub(crate) fn index_key(turn: &TurnId) -> RowKey {
    RowKey { table: TURN_INDEX_TABLE.into(), partition: turn.clone(), key: turn.clone() }
}

pub(crate) fn parse_turn_key(key: &str) -> Option<(TurnId, usize)> {
    let (turn, chunk) = key.strip_prefix(TURN_KEY_PREFIX)?.rsplit_once('/')?;
    Some((turn.into(), chunk.parse().ok()?))
}

/// A write that is conditional on the version of the stored ledger.
pub(super) fn ledger_write(
    program: &ProgramName,
    version: RowVersion,
    ledger: &ProgramLedger,
) -> RowTransaction {
    let key = row_key(program, LEDGER_KEY);
    let value = serde_json::to_vec(ledger).expect("ledgers serialize").into();
    RowTransaction {
        checks: vec![(key.clone(), version)],
        puts: vec![(key, value)],
        removals: Vec::new(),
    }
}

fn rows_by_turn(rows: Vec<StoredRow>) -> BTreeMap<TurnId, StoredRows> {
    let mut turns: BTreeMap<TurnId, StoredRows> = BTreeMap::new();
    for row in rows {
        let Some(value) = row.value else { continue };
        if let Some((turn, number)) = parse_turn_key(&row.key.key) {
            turns.entry(turn).or_default().insert(number, value);
        } else if let Some(turn) = row.key.key.strip_prefix(PROGRESS_KEY_PREFIX) {
            turns.entry(turn.into()).or_default().set_unfinished();
        }
    }
    turns
}

/// What rows hold beside a ledger.
#[derive(Debug, Default)]
pub(super) struct CachedRows {
    pub(super) turns: Vec<ChainEntry>,
    pub(super) unreadable: Vec<TurnId>,
}

impl TurnManager {
    pub(super) fn cache_rows(&self, program: &ProgramName, rows: Vec<StoredRow>) -> CachedRows {
        let mut cached = CachedRows::default();
        for row in rows.iter().filter(|row| &*row.key.key == LEDGER_KEY) {
            let Some(value) = &row.value else { continue };
            self.cache_ledger(program, row.version, value);
        }
        for (turn, rows) in rows_by_turn(rows) {
            let Some(value) = rows.join() else {
                log::info!("event=turn_incomplete program={program} turn={turn}");
                continue;
            };
            match TurnRecord::decode(value) {
                Ok(record) => cached.turns.push(self.cache_record(program, &turn, record)),
                Err(error) => {
                    log::error!(
                        "event=turn_unreadable program={program} turn={turn} error=\"{error}\""
                    );
                    cached.unreadable.push(resolved_name(&turn, program));
                }
            }
        }
        cached
    }

    /// Caches a record of the store or of a peer under the name that it stands for.
    pub(super) fn cache_record(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        mut record: TurnRecord,
    ) -> ChainEntry {
        let turn = resolved_name(turn, program);
        record.resolve_previous(&turn);
        let record = Rc::new(record);
        self.cache.borrow_mut().insert(program, turn.clone(), record.clone());
        ChainEntry { turn, program: program.clone(), record }
    }

    /// Caches the ledger reported by a conflict; true if the stored ledger was removed.
    ///
    /// The cached turns of a removed program are dropped: continuing from them would store a turn
    /// without its history. So is a cached version that the ledger never had, as versions only grow:
    /// the answer to a write may name the version of a later transaction.
    pub(super) fn cache_conflict(
        &self,
        program: &ProgramName,
        expected: RowVersion,
        rows: Vec<StoredRow>,
    ) -> bool {
        let stored = rows.iter().find(|row| &*row.key.key == LEDGER_KEY);
        let is_removed = expected > 0 && stored.is_none();
        let is_too_high = stored.is_some_and(|row| row.version < expected);
        if is_removed || (is_too_high && self.ledger(program).0 == expected) {
            self.cache.borrow_mut().remove(program);
        }
        let ledgers = rows.into_iter().filter(|row| &*row.key.key == LEDGER_KEY);
        self.cache_rows(program, ledgers.collect());
        is_removed
    }

    fn cache_ledger(&self, program: &ProgramName, version: RowVersion, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(ledger) => {
                self.cache.borrow_mut().remove_doubtful(program, version, Instant::now());
                self.record_ledger(program, version, ledger);
            }
            Err(error) => {
                log::error!("event=ledger_unreadable program={program} error=\"{error}\"")
            }
        }
    }

    pub(super) fn record_write(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        record: &TurnRecord,
    ) -> RecordWrite {
        let key_bytes = MAX_ESCAPE_FACTOR * (program.len() + turn.len());
        let row_overhead_bytes = ENTRY_OVERHEAD_BYTES + key_bytes;
        let limits = WriteLimits {
            row_bytes: (self.row_bytes - ROW_OVERHEAD_BYTES).min(MAX_ROW_BYTES),
            transaction_rows: MAX_TRANSACTION_ROWS - MAX_EXTRA_ROWS,
            transaction_bytes: MAX_ENCODED_BYTES - MAX_EXTRA_ROWS * row_overhead_bytes,
            row_overhead_bytes,
        };
        RecordWrite::new(record, limits)
    }
}

/// The transaction of one step, conditional on the progress with `version`.
pub(super) fn step_transaction(
    program: &ProgramName,
    turn: &TurnId,
    write: &RecordWrite,
    step: &WriteStep,
    version: RowVersion,
) -> RowTransaction {
    let progress_key = progress_key(program, turn);
    let put = |number: usize| (turn_key(program, turn, number), write.rows()[number].clone());
    let mut transaction = RowTransaction {
        checks: vec![(turn_key(program, turn, 0), 0)],
        ..RowTransaction::default()
    };
    // Most records are one row, whose write no rows of another one can mix with.
    if write.rows().len() > 1 || version > 0 {
        transaction.checks.push((progress_key.clone(), version));
    }
    match step {
        WriteStep::Put { rows, progress } => {
            transaction.puts = rows.clone().map(put).collect();
            transaction.puts.push((progress_key, progress.encode()));
        }
        WriteStep::Remove { rows, progress } => {
            transaction.removals =
                rows.clone().map(|number| turn_key(program, turn, number)).collect();
            transaction.puts = vec![(progress_key, progress.encode())];
        }
        WriteStep::Commit { rows } => {
            let index = (index_key(turn), Bytes::copy_from_slice(program.as_bytes()));
            transaction.puts = [put(0)].into_iter().chain(rows.clone().map(put)).collect();
            transaction.puts.push(index);
            transaction.removals.extend((version > 0).then_some(progress_key));
        }
    }
    transaction
}

/// The state of a turn's write as a conflict reports it.
pub(super) enum WriteState {
    Committed,
    Open(RowVersion, Option<WriteProgress>),
}

impl WriteState {
    pub(super) fn of_conflict(program: &ProgramName, turn: &TurnId, rows: &[StoredRow]) -> Self {
        let first = turn_key(program, turn, 0);
        if rows.iter().any(|row| row.key == first) {
            return Self::Committed;
        }
        let key = progress_key(program, turn);
        let Some(row) = rows.iter().find(|row| row.key == key) else { return Self::Open(0, None) };
        let progress = row.value.as_ref().map(|value| WriteProgress::decode(value));
        let progress = progress.transpose().unwrap_or_else(|error| {
            log::error!(
                "event=progress_unreadable program={program} turn={turn} error=\"{error}\""
            );
            None
        });
        Self::Open(row.version, progress)
    }
}

#[cfg(test)]
mod tests;
