//! Keeps turns: reads chains, sets tokens aside before a turn runs, and writes what it became.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use super::committer::StoreCommitter;
use super::rows::{CommitReply, RowKey, RowRange, RowTransaction, RowVersion, StoredRow};
use super::store::StoreLink;
use crate::core::ids::Tokens;
use crate::core::turns::{
    ChainLookup, ProgramLedger, ProgramName, ReserveReply, TurnCache, TurnId, TurnRecord,
    split_value,
};
use crate::node::platform::StoreError;

/// Table with the rows of programs; each program is a part of it.
pub(crate) const TABLE: &str = "programs";
/// Table that names the program of each turn.
const INDEX_TABLE: &str = "turn-programs";
/// Parts of the index: enough that none of them takes more than a few writes a second.
const INDEX_PARTS: u64 = 256;
/// Key of a program's ledger; it sorts before the turns.
pub(crate) const LEDGER_KEY: &str = "ledger";
/// Keys of turns: this, the turn's id, and the number of the piece.
const TURN_PREFIX: &str = "t/";
/// Text that a row keeps free for the store's own fields, in bytes.
const ROW_MARGIN: usize = 256;
/// How long a reservation waits for other writes.
const RESERVE_PATIENCE: Duration = Duration::from_millis(15);
/// How long a settlement waits for other writes.
const SETTLE_PATIENCE: Duration = Duration::from_millis(50);
/// Pause before a write is tried again: the store's answer takes some 4 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a settlement that nobody waits for is tried.
const BACKGROUND_LIMIT: Duration = Duration::from_secs(10);
/// Longest key of the store is 200 bytes; the prefix and the piece's number need some.
pub(crate) const MAX_NAME_BYTES: usize = 180;

/// Why a chain could not be had.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ChainError {
    /// The store has no such turn: it was asked just now.
    NoSuchTurn,
    Store(StoreError),
}

/// What a turn continues from.
#[derive(Debug, Default)]
pub(crate) struct TurnChain {
    /// Oldest first.
    pub(crate) turns: Vec<Rc<TurnRecord>>,
    /// The program that made the last one, if it is another one than the turn's.
    pub(crate) origin: Option<ProgramName>,
}

impl TurnChain {
    /// Other programs whose turns it goes on from.
    pub(crate) fn origins(&self) -> BTreeSet<ProgramName> {
        let earlier = self.turns.iter().filter_map(|turn| turn.origin.clone());
        earlier.chain(self.origin.clone()).collect()
    }
}

/// What a turn wants set aside.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TurnClaim {
    /// Most tokens it generates.
    pub(crate) most: Tokens,
    /// Tokens of the whole program.
    pub(crate) budget: Tokens,
    /// How long the program's turns are kept from now on.
    pub(crate) retention: Duration,
}

/// Why a turn may not run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ReserveError {
    Exhausted {
        committed: Tokens,
    },
    /// What is known here of the program is out of date: it has expired and was removed.
    Expired,
    Store(StoreError),
}

/// What programs have said, and what they have spent.
pub(crate) struct TurnKeeper {
    store: Rc<StoreLink>,
    committer: Rc<StoreCommitter>,
    cache: RefCell<TurnCache>,
    /// Largest value of a row, in bytes.
    row_bytes: usize,
}

/// Tokens set aside for a running turn. Dropped, it settles for what was passed on.
pub(crate) struct TurnReservation {
    keeper: Rc<TurnKeeper>,
    program: ProgramName,
    turn: TurnId,
    used: Tokens,
    settled: bool,
}

impl TurnReservation {
    /// Counts tokens that are about to be passed on.
    pub(crate) fn count(&mut self, tokens: Tokens) {
        self.used += tokens;
    }

    /// Writes the turn and what it used; it is durable when this returns.
    ///
    /// The write goes on if the caller of this function is dropped.
    pub(crate) async fn complete(mut self, record: TurnRecord, limit: Instant) -> bool {
        self.settled = true;
        let keeper = self.keeper.clone();
        let (program, turn, used) = (self.program.clone(), self.turn.clone(), self.used);
        let record = Rc::new(record);
        let settle = async move { keeper.settle(&program, &turn, used, Some(record), limit).await };
        actix_rt::spawn(settle).await.unwrap_or(false)
    }
}

impl Drop for TurnReservation {
    /// A turn that broke off leaves no record; its unused tokens go back to the program.
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let keeper = self.keeper.clone();
        let (program, turn, used) = (self.program.clone(), self.turn.clone(), self.used);
        actix_rt::spawn(async move {
            let limit = Instant::now() + BACKGROUND_LIMIT;
            keeper.settle(&program, &turn, used, None, limit).await;
        });
    }
}

impl TurnKeeper {
    pub(crate) fn new(
        store: Rc<StoreLink>,
        committer: Rc<StoreCommitter>,
        cache_bytes: usize,
        row_bytes: usize,
    ) -> Self {
        let cache = RefCell::new(TurnCache::new(cache_bytes));
        Self { store, committer, cache, row_bytes }
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.cache.borrow().bytes()
    }

    /// The chain that ends with `turn`, oldest first.
    ///
    /// The turn is looked for in the program first, and by the index if it is not there: a program
    /// may go on from what another one said.
    pub(crate) async fn chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
    ) -> Result<TurnChain, ChainError> {
        let mut loaded: Vec<ProgramName> = Vec::new();
        loop {
            let missing = match self.lookup(turn) {
                ChainLookup::Whole(turns) => return Ok(self.whole_chain(program, turn, turns)),
                ChainLookup::Missing(missing) => missing,
            };
            let next = if loaded.contains(program) {
                self.program_of(&missing).await?
            } else {
                program.clone()
            };
            if loaded.contains(&next) {
                return Err(ChainError::NoSuchTurn);
            }
            self.load(&next).await.map_err(ChainError::Store)?;
            loaded.push(next);
        }
    }

    fn whole_chain(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        turns: Vec<Rc<TurnRecord>>,
    ) -> TurnChain {
        let mut cache = self.cache.borrow_mut();
        let maker = cache.program_of(turn);
        if let Some(maker) = &maker {
            cache.touch(maker);
        }
        TurnChain { turns, origin: maker.filter(|maker| maker != program) }
    }

    fn lookup(&self, turn: &TurnId) -> ChainLookup {
        self.cache.borrow().chain(turn)
    }

    /// The program that made a turn, from the index.
    async fn program_of(&self, turn: &TurnId) -> Result<ProgramName, ChainError> {
        let key = index_key(turn);
        let range = RowRange {
            table: key.table.clone(),
            part: key.part.clone(),
            from: Some(key.key.clone()),
            limit: Some(1),
        };
        let reply = self.store.range(&range).await.map_err(ChainError::Store)?;
        let row = reply.rows.into_iter().find(|row| row.key == key);
        let value = row.and_then(|row| row.value).ok_or(ChainError::NoSuchTurn)?;
        String::from_utf8(value.to_vec()).map(Into::into).map_err(|_| ChainError::NoSuchTurn)
    }

    /// Reads everything the store has of a program.
    async fn load(&self, program: &ProgramName) -> Result<(), StoreError> {
        let mut range =
            RowRange { table: TABLE.into(), part: program.clone(), from: None, limit: None };
        let mut rows = Vec::new();
        loop {
            let reply = self.store.range(&range).await?;
            rows.extend(reply.rows);
            let Some(last) = rows.last().filter(|_| reply.truncated) else { break };
            // The smallest key after the last one.
            range.from = Some(format!("{}\0", last.key.key).into());
        }
        self.take_rows(program, rows);
        Ok(())
    }

    /// Takes rows of a program into the cache.
    fn take_rows(&self, program: &ProgramName, rows: Vec<StoredRow>) {
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
    fn take_conflict(
        &self,
        program: &ProgramName,
        expected: RowVersion,
        rows: Vec<StoredRow>,
    ) -> bool {
        let gone = expected > 0 && !rows.iter().any(|row| &*row.key.key == LEDGER_KEY);
        if gone {
            self.cache.borrow_mut().forget(program);
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

    fn ledger(&self, program: &str) -> (RowVersion, ProgramLedger) {
        self.cache.borrow().ledger(program).unwrap_or_default()
    }

    /// Sets a turn's most tokens aside, durably, before it runs.
    ///
    /// A lost reply is no refusal and no grant: the same write is tried again, and finds the
    /// reservation if the first one took effect.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        program: &ProgramName,
        turn: &TurnId,
        claim: TurnClaim,
        limit: Instant,
    ) -> Result<TurnReservation, ReserveError> {
        let mut fresh = false;
        loop {
            let (version, mut ledger) = self.ledger(program);
            ledger.keep_until(self.kept_until(claim.retention));
            let reply = ledger.reserve(turn, claim.most, claim.budget);
            if let ReserveReply::Exhausted { committed, lasting } = reply {
                if fresh || lasting {
                    return Err(ReserveError::Exhausted { committed });
                }
                // Other instances may have given tokens back since this ledger was seen.
                self.load(program).await.map_err(ReserveError::Store)?;
                fresh = true;
                continue;
            }
            let key = row_key(program, LEDGER_KEY);
            let transaction = RowTransaction {
                checks: vec![(key.clone(), version)],
                puts: vec![(key, ledger_value(&ledger))],
                removals: Vec::new(),
            };
            match self.committer.commit(transaction, RESERVE_PATIENCE).await {
                Ok(CommitReply::Committed(version)) => {
                    self.cache.borrow_mut().set_ledger(program, version, ledger);
                    return Ok(self.reservation(program, turn));
                }
                Ok(CommitReply::Conflict(rows)) => {
                    if self.take_conflict(program, version, rows) {
                        return Err(ReserveError::Expired);
                    }
                    fresh = true;
                    if self.ledger(program).1.is_open(turn) {
                        return Ok(self.reservation(program, turn));
                    }
                }
                Err(error) => {
                    if error == StoreError::Unavailable {
                        return Err(ReserveError::Store(error));
                    }
                    if Instant::now() + RETRY_PAUSE >= limit {
                        self.abandon(program, turn);
                        return Err(ReserveError::Store(error));
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// When what is used now expires, by the store's clock.
    fn kept_until(&self, retention: Duration) -> u64 {
        self.store.now_millis() + retention.as_millis() as u64
    }

    /// Keeps another program's turns as long as those that go on from them.
    pub(crate) async fn keep(
        &self,
        program: &ProgramName,
        retention: Duration,
        limit: Instant,
    ) -> Result<(), ReserveError> {
        loop {
            let (version, mut ledger) = self.ledger(program);
            ledger.keep_until(self.kept_until(retention));
            let key = row_key(program, LEDGER_KEY);
            let transaction = RowTransaction {
                checks: vec![(key.clone(), version)],
                puts: vec![(key, ledger_value(&ledger))],
                removals: Vec::new(),
            };
            match self.committer.commit(transaction, RESERVE_PATIENCE).await {
                Ok(CommitReply::Committed(version)) => {
                    self.cache.borrow_mut().set_ledger(program, version, ledger);
                    return Ok(());
                }
                Ok(CommitReply::Conflict(rows)) => {
                    if self.take_conflict(program, version, rows) {
                        return Err(ReserveError::Expired);
                    }
                }
                Err(StoreError::ReplyLost) if Instant::now() + RETRY_PAUSE < limit => {
                    sleep(RETRY_PAUSE).await;
                }
                Err(error) => return Err(ReserveError::Store(error)),
            }
        }
    }

    fn reservation(self: &Rc<Self>, program: &ProgramName, turn: &TurnId) -> TurnReservation {
        TurnReservation {
            keeper: self.clone(),
            program: program.clone(),
            turn: turn.clone(),
            used: 0,
            settled: false,
        }
    }

    /// Takes back a reservation that may still take effect, though its turn will not run.
    ///
    /// Any write of the ledger voids the condition of the one that may still be on its way.
    fn abandon(self: &Rc<Self>, program: &ProgramName, turn: &TurnId) {
        drop(self.reservation(program, turn));
    }

    /// Replaces a reservation by what was used, together with the turn's record if there is one.
    /// False if that could not be made durable before `limit`.
    async fn settle(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        used: Tokens,
        record: Option<Rc<TurnRecord>>,
        limit: Instant,
    ) -> bool {
        let pieces = record.as_ref().map(|record| self.pieces(program, turn, record));
        let pieces = pieces.unwrap_or_default();
        loop {
            let (version, mut ledger) = self.ledger(program);
            let key = row_key(program, LEDGER_KEY);
            ledger.settle(turn, used);
            let mut transaction = RowTransaction {
                checks: vec![(key.clone(), version)],
                puts: vec![(key, ledger_value(&ledger))],
                removals: Vec::new(),
            };
            if let Some((first, _)) = pieces.first() {
                transaction.checks.push((first.clone(), 0));
            }
            transaction.puts.extend(pieces.iter().cloned());
            match self.committer.commit(transaction, SETTLE_PATIENCE).await {
                Ok(CommitReply::Committed(version)) => {
                    self.cache.borrow_mut().set_ledger(program, version, ledger);
                    break;
                }
                Ok(CommitReply::Conflict(rows)) => {
                    let stands = |row: &StoredRow| {
                        row.version > 0 && pieces.first().is_some_and(|(key, _)| *key == row.key)
                    };
                    let written = rows.iter().any(stands);
                    self.take_conflict(program, version, rows);
                    // An earlier try took effect, and only its reply was lost.
                    let closed = record.is_none() && !self.ledger(program).1.is_open(turn);
                    if written || closed {
                        break;
                    }
                }
                Err(error) => {
                    if Instant::now() + RETRY_PAUSE >= limit {
                        log::warn!(
                            "event=settle_failed program={program} turn={turn} used={used} error=\"{error}\""
                        );
                        return false;
                    }
                    sleep(RETRY_PAUSE).await;
                    // Not later than the caller gives up, though nothing is lost by trying on.
                    let _ = timeout_at(limit, self.store.reachable()).await;
                }
            }
        }
        if let Some(record) = record {
            self.cache.borrow_mut().insert(program, turn.clone(), record);
        }
        true
    }

    fn pieces(
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

pub(crate) fn row_key(program: &ProgramName, key: &str) -> RowKey {
    RowKey { table: TABLE.into(), part: program.clone(), key: key.into() }
}

pub(crate) fn index_key(turn: &TurnId) -> RowKey {
    let part = xxh3_64(turn.as_bytes()) % INDEX_PARTS;
    RowKey { table: INDEX_TABLE.into(), part: format!("{part:02x}").into(), key: turn.clone() }
}

pub(crate) fn parse_turn_key(key: &str) -> Option<(TurnId, usize)> {
    let (turn, piece) = key.strip_prefix(TURN_PREFIX)?.rsplit_once('/')?;
    Some((turn.into(), piece.parse().ok()?))
}

fn ledger_value(ledger: &ProgramLedger) -> Bytes {
    serde_json::to_vec(ledger).expect("ledgers serialize").into()
}

fn join(parts: impl Iterator<Item = Bytes>) -> Bytes {
    let mut joined = BytesMut::new();
    for part in parts {
        joined.extend_from_slice(&part);
    }
    joined.freeze()
}
