//! Keeps turns: reads chains, sets tokens aside before a turn runs, and writes what it became.

mod allowances;
mod chain;
mod claim;
mod coordinate;
mod messages;
#[cfg(test)]
mod messages_tests;
mod reserve;
mod rows;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use self::allowances::ProgramAllowances;
use self::coordinate::CoordinatorHealth;
use self::messages::TurnEnd;
use self::reserve::PendingReservation;
use self::rows::ledger_write;
use super::committer::StoreCommitter;
use super::http::ConnectionPool;
use super::rows::{CommitReply, RowTransaction, RowVersion};
use super::store::StoreLink;
use crate::core::ids::Tokens;
use crate::core::turns::{
    PrefixHolder, ProgramLedger, ProgramName, TurnCache, TurnId, TurnRecord, TurnScope,
};
use crate::node::platform::StoreError;

pub(crate) use self::chain::{ChainError, TurnChain};
pub(crate) use self::claim::{ClaimError, ClaimedTurn, TurnClaim};
pub(crate) use self::coordinate::{CLAIM_PATH, PERSIST_PATH, SETTLE_PATH, TurnCoordinator};
pub(crate) use self::rows::{LEDGER_KEY, PROGRAMS_TABLE, index_key, parse_turn_key, row_key};

/// How long a reservation waits for other writes: not at all, as its turn has not begun; it takes along
/// those that wait.
const RESERVE_COMMIT_DELAY: Duration = Duration::ZERO;
/// How long a settlement waits for other writes.
const SETTLE_COMMIT_DELAY: Duration = Duration::from_millis(50);
/// Pause before a write is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// How long a settlement that nobody waits for is tried.
const BACKGROUND_SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest key of the store is 200 bytes; the prefix and the piece's number need some.
pub(crate) const MAX_NAME_BYTES: usize = 180;

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

/// What became of a conditional write of a ledger.
enum LedgerOutcome {
    Written,
    /// Another write came first; its ledger is known now.
    Conflict,
    /// The program has expired and was removed.
    Removed,
}

/// What programs have said, and what they have spent.
pub(crate) struct TurnManager {
    store: Rc<StoreLink>,
    committer: Rc<StoreCommitter>,
    pool: Rc<ConnectionPool>,
    coordinators: RefCell<CoordinatorHealth>,
    /// Reservations that wait for their program's ledger to be written; present while a task writes.
    pending: RefCell<HashMap<ProgramName, Vec<PendingReservation>>>,
    cache: RefCell<TurnCache>,
    allowances: RefCell<ProgramAllowances>,
    /// Largest value of a row, in bytes.
    row_bytes: usize,
    /// Turns that hold or are getting a reservation.
    reservations: Cell<u64>,
}

/// Tokens set aside for a running turn. Dropped, it settles for what was passed on.
pub(crate) struct TurnReservation {
    manager: Rc<TurnManager>,
    program: ProgramName,
    turn: TurnId,
    used: Tokens,
    settled: bool,
    scope: TurnScope,
    /// Where it ran whole.
    ran_at: Option<PrefixHolder>,
    /// The peer that claimed it for this instance.
    coordinator: Option<Box<str>>,
}

impl TurnReservation {
    /// Counts tokens that are about to be passed on.
    pub(crate) fn record_tokens(&mut self, tokens: Tokens) {
        self.used += tokens;
    }

    /// Tokens passed on so far.
    pub(crate) fn used(&self) -> Tokens {
        self.used
    }

    /// Notes where the turn ran whole, for those that follow it.
    pub(crate) fn record_holder(&mut self, holder: PrefixHolder) {
        self.ran_at = Some(holder);
    }

    /// Leaves the reservation to the peer it was made for.
    fn transfer(mut self) {
        self.settled = true;
    }

    /// Writes the turn, which also settles what it used; it is durable when this returns.
    ///
    /// The write goes on if the caller of this function is dropped.
    pub(crate) async fn complete(mut self, record: TurnRecord, deadline: Instant) -> bool {
        self.settled = true;
        let manager = self.manager.clone();
        let (program, turn) = (self.program.clone(), self.turn.clone());
        let coordinator = self.coordinator.take();
        let persist = async move {
            if let Some(peer) = coordinator
                && manager.persist_via_peer(&peer, &program, &turn, &record, deadline).await
            {
                manager.cache.borrow_mut().insert(&program, turn, record.into());
                return true;
            }
            manager.record(&program, &turn, record, deadline).await
        };
        actix_rt::spawn(persist).await.unwrap_or(false)
    }
}

impl Drop for TurnReservation {
    /// A turn that leaves no record, as it broke off or its history is not kept: its unused tokens go
    /// back to the program.
    fn drop(&mut self) {
        self.manager.reservations.set(self.manager.reservations.get() - 1);
        if self.settled {
            return;
        }
        let manager = self.manager.clone();
        let coordinator = self.coordinator.take();
        let end = TurnEnd {
            program: self.program.clone(),
            turn: self.turn.clone(),
            used: self.used,
            scope: self.scope,
            ran_at: self.ran_at.take(),
        };
        actix_rt::spawn(async move {
            if let Some(peer) = coordinator
                && manager.settle_via_peer(&peer, &end).await
            {
                return;
            }
            if end.scope == TurnScope::Tokens {
                manager.end_turn(&end);
                return;
            }
            let deadline = Instant::now() + BACKGROUND_SETTLE_TIMEOUT;
            manager.settle(&end.program, &end.turn, end.used, deadline).await;
        });
    }
}

impl TurnManager {
    pub(crate) fn new(
        store: Rc<StoreLink>,
        committer: Rc<StoreCommitter>,
        pool: Rc<ConnectionPool>,
        cache_bytes: usize,
        row_bytes: usize,
    ) -> Self {
        let cache = RefCell::new(TurnCache::new(cache_bytes));
        Self {
            store,
            committer,
            pool,
            coordinators: RefCell::default(),
            pending: RefCell::default(),
            cache,
            allowances: RefCell::default(),
            row_bytes,
            reservations: Cell::new(0),
        }
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.cache.borrow().bytes()
    }

    /// Turns of this instance that hold a reservation or wait for one.
    pub(crate) fn reservations(&self) -> u64 {
        self.reservations.get()
    }

    fn ledger(&self, program: &str) -> (RowVersion, ProgramLedger) {
        self.cache.borrow().ledger(program).unwrap_or_default()
    }

    /// Writes a ledger if it is still the version that was read, and notes what became of it.
    async fn write_ledger(
        &self,
        program: &ProgramName,
        version: RowVersion,
        ledger: ProgramLedger,
        max_delay: Duration,
    ) -> Result<LedgerOutcome, StoreError> {
        let transaction = ledger_write(program, version, &ledger);
        match self.committer.commit(transaction, max_delay).await? {
            CommitReply::Committed(version) => {
                self.cache.borrow_mut().set_ledger(program, version, ledger);
                Ok(LedgerOutcome::Written)
            }
            CommitReply::Conflict(rows) => match self.cache_conflict(program, version, rows) {
                true => Ok(LedgerOutcome::Removed),
                false => Ok(LedgerOutcome::Conflict),
            },
        }
    }

    /// When what is used now expires, by the store's clock.
    fn retained_until(&self, retention: Duration) -> u64 {
        self.store.now_millis() + retention.as_millis() as u64
    }

    /// Keeps another program's turns as long as those that go on from them.
    async fn extend_retention(
        &self,
        program: &ProgramName,
        retention: Duration,
        deadline: Instant,
    ) -> Result<(), ReserveError> {
        loop {
            let (version, mut ledger) = self.ledger(program);
            ledger.retain_until(self.retained_until(retention));
            match self.write_ledger(program, version, ledger, RESERVE_COMMIT_DELAY).await {
                Ok(LedgerOutcome::Written) => return Ok(()),
                Ok(LedgerOutcome::Removed) => return Err(ReserveError::Expired),
                Ok(LedgerOutcome::Conflict) => {}
                Err(StoreError::ReplyLost) if Instant::now() + RETRY_DELAY < deadline => {
                    sleep(RETRY_DELAY).await;
                }
                Err(error) => return Err(ReserveError::Store(error)),
            }
        }
    }

    fn reservation(self: &Rc<Self>, program: &ProgramName, turn: &TurnId) -> TurnReservation {
        self.reservations.set(self.reservations.get() + 1);
        TurnReservation {
            manager: self.clone(),
            program: program.clone(),
            turn: turn.clone(),
            used: 0,
            settled: false,
            scope: TurnScope::History,
            ran_at: None,
            coordinator: None,
        }
    }

    /// Writes a turn's record; false if it could not be made durable before `limit`.
    ///
    /// The ledger is left alone: the record itself says what was used. A write of both would conflict
    /// with each reservation of another turn of the program.
    async fn record(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        record: TurnRecord,
        deadline: Instant,
    ) -> bool {
        let puts = self.record_puts(program, turn, &record);
        let first = puts.first().map(|(key, _)| (key.clone(), 0));
        let checks = first.into_iter().collect();
        let transaction = RowTransaction { checks, puts, removals: Vec::new() };
        loop {
            match self.committer.commit(transaction.clone(), SETTLE_COMMIT_DELAY).await {
                // In a conflict the row is there: an earlier try took effect, its reply was lost.
                Ok(CommitReply::Committed(_) | CommitReply::Conflict(_)) => break,
                Err(error) => {
                    if self.pause_before_retry(deadline).await {
                        continue;
                    }
                    log::warn!(
                        "event=settle_failed program={program} turn={turn} used={} error=\"{error}\"",
                        record.used
                    );
                    return false;
                }
            }
        }
        self.cache.borrow_mut().insert(program, turn.clone(), Rc::new(record));
        true
    }

    /// Replaces the reservation of a turn that broke off by what was used.
    async fn settle(&self, program: &ProgramName, turn: &TurnId, used: Tokens, deadline: Instant) {
        loop {
            let (version, mut ledger) = self.ledger(program);
            ledger.settle(turn, used);
            match self.write_ledger(program, version, ledger, SETTLE_COMMIT_DELAY).await {
                Ok(LedgerOutcome::Written) => return,
                // An earlier try took effect, and only its reply was lost.
                Ok(_) if !self.ledger(program).1.is_reserved(turn) => return,
                Ok(_) => {}
                Err(error) => {
                    if self.pause_before_retry(deadline).await {
                        continue;
                    }
                    log::warn!(
                        "event=settle_failed program={program} turn={turn} used={used} error=\"{error}\""
                    );
                    return;
                }
            }
        }
    }

    /// Waits before a write is tried again, while the store is away until it returns; false if the
    /// limit leaves no time for that.
    async fn pause_before_retry(&self, deadline: Instant) -> bool {
        if Instant::now() + RETRY_DELAY >= deadline {
            return false;
        }
        sleep(RETRY_DELAY).await;
        // Not later than the caller gives up, though nothing is lost by trying on.
        let _ = timeout_at(deadline, self.store.reachable()).await;
        true
    }
}
