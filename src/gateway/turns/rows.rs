//! Where programs lie in the store, and how their rows are read and written.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use super::TurnKeeper;
use crate::core::turns::{ProgramLedger, ProgramName, TurnId, TurnRecord, split_value};
use crate::gateway::rows::{RowKey, RowTransaction, RowVersion, StoredRow};

/// Table with the rows of programs; each program has a partition of its own.
pub(crate) const TABLE: &str = "programs";
/// Table that names the program of each turn.
const INDEX_TABLE: &str = "turn-programs";
/// Key of a program's ledger; it sorts before the turns.
pub(crate) const LEDGER_KEY: &str = "ledger";
/// Keys of turns: this, the turn's id, and the number of the piece.
const TURN_PREFIX: &str = "t/";
/// Text that a row keeps free for the store's own fields, in bytes.
const ROW_MARGIN: usize = 256;

pub(crate) fn row_key(program: &ProgramName, key: &str) -> RowKey {
    RowKey { table: TABLE.into(), partition: program.clone(), key: key.into() }
}

/// The index row of a turn, in a partition of its own: the store applies the transactions of a
/// partition one after another, so turns that share a partition would wait for each other.
pub(crate) fn index_key(turn: &TurnId) -> RowKey {
    RowKey { table: INDEX_TABLE.into(), partition: turn.clone(), key: turn.clone() }
}

pub(crate) fn parse_turn_key(key: &str) -> Option<(TurnId, usize)> {
    let (turn, piece) = key.strip_prefix(TURN_PREFIX)?.rsplit_once('/')?;
    Some((turn.into(), piece.parse().ok()?))
}

/// Writes a ledger if it is still the version that was read.
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

fn join(parts: impl Iterator<Item = Bytes>) -> Bytes {
    let mut joined = BytesMut::new();
    for part in parts {
        joined.extend_from_slice(&part);
    }
    joined.freeze()
}

impl TurnKeeper {
    /// Takes rows of a program into the cache.
    pub(super) fn take_rows(&self, program: &ProgramName, rows: Vec<StoredRow>) {
        let mut pieces: BTreeMap<TurnId, Vec<(usize, Bytes)>> = BTreeMap::new();
        for row in rows {
            let Some(value) = row.value else { continue };
            if &*row.key.key == LEDGER_KEY {
                self.take_ledger(program, row.version, &value);
            } else if let Some((turn, piece)) = parse_turn_key(&row.key.key) {
                pieces.entry(turn).or_default().push((piece, value));
            }
        }
        for (turn, mut parts) in pieces {
            parts.sort_by_key(|(piece, _)| *piece);
            let value = match parts.len() {
                1 => parts.remove(0).1,
                _ => join(parts.into_iter().map(|(_, value)| value)),
            };
            match TurnRecord::decode(value) {
                Ok(record) => self.cache.borrow_mut().insert(program, turn, record.into()),
                Err(error) => {
                    log::error!(
                        "event=turn_unreadable program={program} turn={turn} error=\"{error}\""
                    );
                }
            }
        }
    }

    /// Takes the rows of a conflict about a program's ledger; true if the ledger is gone.
    ///
    /// An expired program was removed while its turns still lay in this cache. Going on from them
    /// would write a turn whose history is nowhere, so all that is known of it is dropped.
    pub(super) fn take_conflict(
        &self,
        program: &ProgramName,
        expected: RowVersion,
        rows: Vec<StoredRow>,
    ) -> bool {
        let gone = expected > 0 && !rows.iter().any(|row| &*row.key.key == LEDGER_KEY);
        if gone {
            self.cache.borrow_mut().remove(program);
            self.allowances.borrow_mut().forget(program);
        }
        let ledgers = rows.into_iter().filter(|row| &*row.key.key == LEDGER_KEY);
        self.take_rows(program, ledgers.collect());
        gone
    }

    fn take_ledger(&self, program: &ProgramName, version: RowVersion, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(ledger) => self.cache.borrow_mut().set_ledger(program, version, ledger),
            Err(error) => {
                log::error!("event=ledger_unreadable program={program} error=\"{error}\"")
            }
        }
    }

    pub(super) fn pieces(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        record: &TurnRecord,
    ) -> Vec<(RowKey, Bytes)> {
        let value = record.encode();
        let ranges = split_value(value.len(), self.row_bytes - ROW_MARGIN);
        let piece = |(number, range)| {
            let key = format!("{TURN_PREFIX}{turn}/{number}");
            (row_key(program, &key), value.slice(range))
        };
        let index = (index_key(turn), Bytes::copy_from_slice(program.as_bytes()));
        ranges.into_iter().enumerate().map(piece).chain([index]).collect()
    }
}
