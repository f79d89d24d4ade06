//! Manages the turns of programs for the gateway: reads their chains, reserves tokens before a turn
//! runs, and settles and stores it afterwards.

mod chain;
mod chain_memory;
mod claim;
mod coordinate;
mod holders;
mod known;
mod messages;
#[cfg(test)]
mod messages_tests;
mod reserve;
mod rows;
mod serve;
mod settle;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use self::chain_memory::ChainMemory;
use self::coordinate::CoordinatorHealth;
use self::holders::HolderTable;
use self::known::LedgerReads;
use self::reserve::PendingReservation;
use self::rows::{WriteState, ledger_write, step_transaction};
use self::settle::{SettlementCount, SettlementQueue};
use super::committer::StoreCommitter;
use super::http::ConnectionPool;
use super::rows::{CommitReply, RowVersion};
use super::store::StoreLink;
use crate::core::ids::Tokens;
use crate::core::turns::{
    PrefixHolder, ProgramLedger, ProgramName, TurnCache, TurnId, TurnRecord, TurnScope, WriteStep,
};
use crate::node::platform::StoreError;

pub(crate) use self::chain::{ChainError, TurnChain};
pub(crate) use self::chain_memory::CHAIN_MEMORY_PER_CACHE;
pub(crate) use self::claim::{ClaimError, ClaimedTurn, TurnClaim};
pub(crate) use self::coordinate::{CLAIM_PATH, PERSIST_PATH, SETTLE_PATH, TurnCoordinator};
pub(crate) use self::rows::{
    LEDGER_KEY, PROGRAMS_TABLE, index_key, parse_turn_key, progress_key, row_key,
};

/// Zero, since the turn cannot start before its reservation is durable. Queued writes join its batch.
const RESERVE_COMMIT_DELAY: Duration = Duration::ZERO;
/// Lets settlements share a transaction with other writes.
const SETTLE_COMMIT_DELAY: Duration = Duration::from_millis(50);
/// Short, as a turn waits for several of them, but not zero, as claims come first.
const STEP_COMMIT_DELAY: Duration = Duration::from_millis(1);
const RETRY_DELAY: Duration = Duration::from_millis(40);
const BACKGROUND_SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Records of about this size and more take several transactions.
const MAX_COORDINATED_RECORD_BYTES: usize = 600_000;
/// The store limits keys to 200 bytes, of which the key prefix and the chunk number take a part.
pub(crate) const MAX_NAME_BYTES: usize = 180;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ReserveError {
    Exhausted {
        committed: Tokens,
        /// The end of other turns does not help.
        permanent: bool,
    },
    /// The program was removed from the store after its retention; cached rows are stale.
    Expired,
    /// The peer that sent the claim has taken it over, or no longer waits for it.
    Void,
    Store(StoreError),
}

/// Result of a conditional write of a ledger.
enum LedgerOutcome {
    Written,
    /// Another write came first; the cache now holds its ledger.
    Conflict,
    /// The program was removed from the store after its retention.
    Removed,
}

pub(crate) struct TurnManager {
    store: Rc<StoreLink>,
    committer: Rc<StoreCommitter>,
    pool: Rc<ConnectionPool>,
    coordinators: RefCell<CoordinatorHealth>,
    /// Reservations queued per program; an entry exists while a task writes the program's ledger.
    pending: RefCell<HashMap<ProgramName, Vec<PendingReservation>>>,
    cache: RefCell<TurnCache>,
    chain_memory: ChainMemory,
    settlements: RefCell<SettlementQueue>,
    settling: SettlementCount,
    holders: RefCell<HolderTable>,
    ledger_reads: RefCell<LedgerReads>,
    /// Maximum size of a row's value.
    row_bytes: usize,
    reservations: Cell<u64>,
}

/// Tokens reserved for a running turn. Dropping it settles the turn with the tokens sent so far.
pub(crate) struct TurnReservation {
    manager: Rc<TurnManager>,
    program: ProgramName,
    turn: TurnId,
    used: Tokens,
    settled: bool,
    scope: TurnScope,
    ran_at: Option<PrefixHolder>,
    /// The coordinator holds the program in the store until then at least.
    retained_until: Option<Instant>,
    /// The coordinator may still get the claim, and must not reserve the turn until then.
    taken_over_until: Option<u64>,
    /// Address of the peer that made the reservation for this instance.
    coordinator: Option<Box<str>>,
}

impl TurnReservation {
    /// Must be called before the tokens are sent to the caller.
    pub(crate) fn record_tokens(&mut self, tokens: Tokens) {
        self.used += tokens;
    }

    pub(crate) fn used(&self) -> Tokens {
        self.used
    }

    /// Lets later turns be routed to the engine that holds this turn's prefix.
    pub(crate) fn record_holder(&mut self, holder: PrefixHolder) {
        self.ran_at = Some(holder);
    }

    /// Leaves settlement to the peer for which the reservation was made.
    fn transfer(mut self) {
        self.settled = true;
    }

    /// Stores the turn's record, which also settles its tokens; true if it is durable. The write
    /// continues if the returned future is dropped.
    pub(crate) async fn complete(mut self, record: TurnRecord, deadline: Instant) -> bool {
        self.settled = true;
        let manager = self.manager.clone();
        let (program, turn) = (self.program.clone(), self.turn.clone());
        let (coordinator, retained_until) = (self.coordinator.take(), self.retained_until);
        let persist = async move {
            // The timeout of a call to a coordinator covers one transaction.
            let coordinator =
                coordinator.filter(|_| record.bytes() <= MAX_COORDINATED_RECORD_BYTES);
            if let Some(peer) = coordinator
                && manager.persist_via_peer(&peer, &program, &turn, &record, deadline).await
            {
                let mut cache = manager.cache.borrow_mut();
                cache.insert(&program, turn, record.into());
                if let Some(until) = retained_until {
                    cache.retain(&program, until);
                }
                return true;
            }
            manager.store_record(&program, &turn, record, deadline).await
        };
        actix_rt::spawn(persist).await.unwrap_or(false)
    }
}

impl Drop for TurnReservation {
    /// Releases the unused tokens of a turn without a record: it failed, or its history is not stored.
    fn drop(&mut self) {
        self.manager.reservations.set(self.manager.reservations.get() - 1);
        if !self.settled {
            self.spawn_settlement(SETTLE_COMMIT_DELAY);
        }
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
            chain_memory: ChainMemory::new(cache_bytes),
            settlements: RefCell::default(),
            settling: SettlementCount::default(),
            holders: RefCell::default(),
            ledger_reads: RefCell::default(),
            row_bytes,
            reservations: Cell::new(0),
        }
    }

    pub(crate) fn cached_bytes(&self) -> usize {
        self.cache.borrow().bytes()
    }

    /// Includes turns that wait for their reservation.
    pub(crate) fn reservations(&self) -> u64 {
        self.reservations.get()
    }

    /// The newest known ledger, with all turns settled that are known to have ended.
    fn ledger(&self, program: &str) -> (RowVersion, ProgramLedger) {
        let (version, mut ledger) = self.cache.borrow().ledger(program).unwrap_or_default();
        self.settlements.borrow().apply(program, &mut ledger);
        (version, ledger)
    }

    /// Writes a ledger if the stored one still has `version`, and updates the cache.
    async fn write_ledger(
        &self,
        program: &ProgramName,
        version: RowVersion,
        ledger: ProgramLedger,
        max_delay: Duration,
    ) -> Result<LedgerOutcome, StoreError> {
        let transaction = ledger_write(program, version, &ledger);
        match self.committer.commit(transaction, max_delay).await? {
            CommitReply::Committed(written) => {
                // The store had no ledger, thus no turns.
                if version == 0 {
                    self.cache.borrow_mut().remove(program);
                }
                self.settlements.borrow_mut().remove_written(program, &ledger);
                self.record_ledger(program, written, ledger);
                Ok(LedgerOutcome::Written)
            }
            CommitReply::Conflict(rows) => match self.cache_conflict(program, version, rows) {
                true => Ok(LedgerOutcome::Removed),
                false => Ok(LedgerOutcome::Conflict),
            },
        }
    }

    /// Caches a ledger that the store holds, and that it holds the program for its retention.
    fn record_ledger(&self, program: &ProgramName, version: RowVersion, ledger: ProgramLedger) {
        let now_ms = self.store.clock_millis();
        let left = now_ms.map(|now_ms| ledger.retained_until().saturating_sub(now_ms));
        let mut cache = self.cache.borrow_mut();
        cache.set_ledger(program, version, ledger);
        if let Some(left) = left {
            cache.retain(program, Instant::now() + Duration::from_millis(left));
        }
    }

    /// Reads the ledger of a program unless it is cached; false if the store holds none.
    ///
    /// Without a ledger the program has been swept, so its cached turns are dropped: a turn that
    /// continues from them would be stored without its history.
    async fn ensure_ledger(&self, program: &ProgramName) -> Result<bool, StoreError> {
        if self.cache.borrow().has_ledger(program) {
            return Ok(true);
        }
        self.load_ledger(program).await?;
        let is_found = self.cache.borrow().has_ledger(program);
        if !is_found {
            log::info!("event=program_absent program={program}");
            self.cache.borrow_mut().remove(program);
        }
        Ok(is_found)
    }

    /// In milliseconds of the store's clock.
    fn retained_until(&self, retention: Duration) -> u64 {
        self.store.now_millis() + retention.as_millis() as u64
    }

    /// Retains another program's turns for as long as the turns that continue from them.
    async fn extend_retention(
        &self,
        program: &ProgramName,
        retention: Duration,
        deadline: Instant,
    ) -> Result<(), ReserveError> {
        loop {
            if !self.ensure_ledger(program).await.map_err(ReserveError::Store)? {
                return Err(ReserveError::Expired);
            }
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
            retained_until: None,
            taken_over_until: None,
            coordinator: None,
        }
    }

    /// Writes a turn's record; false if it is not durable by the deadline.
    ///
    /// The record states the tokens used, so the ledger is not written: that write would conflict with
    /// reservations of the program's other turns.
    async fn store_record(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        record: TurnRecord,
        deadline: Instant,
    ) -> bool {
        let write = self.record_write(program, turn, &record);
        let (mut version, mut progress) = (0, None);
        loop {
            let step = write.step(progress.as_ref());
            let transaction = step_transaction(program, turn, &write, &step, version);
            let is_whole = version == 0 && matches!(step, WriteStep::Commit { .. });
            let delay = if is_whole { SETTLE_COMMIT_DELAY } else { STEP_COMMIT_DELAY };
            let error = match (self.committer.commit(transaction, delay).await, step) {
                (Ok(CommitReply::Committed(_)), WriteStep::Commit { .. }) => break,
                (
                    Ok(CommitReply::Committed(written)),
                    WriteStep::Put { progress: next, .. }
                    | WriteStep::Remove { progress: next, .. },
                ) => {
                    (version, progress) = (written, Some(next));
                    continue;
                }
                (Ok(CommitReply::Conflict(rows)), _) => {
                    match WriteState::of_conflict(program, turn, &rows) {
                        // By an earlier attempt whose reply was lost, or by another instance.
                        WriteState::Committed => break,
                        WriteState::Open(current, next) => {
                            let is_new = current != version;
                            (version, progress) = (current, next);
                            if is_new && Instant::now() < deadline {
                                continue;
                            }
                        }
                    }
                    StoreError::ReplyLost
                }
                (Err(error), _) => error,
            };
            if !self.wait_before_retry(deadline).await {
                log::warn!(
                    "event=settle_failed program={program} turn={turn} used={} error=\"{error}\"",
                    record.used
                );
                return false;
            }
        }
        self.cache.borrow_mut().insert(program, turn.clone(), Rc::new(record));
        true
    }

    /// Waits for the retry delay and for the store to be reachable; false if the deadline is too close
    /// for another attempt.
    async fn wait_before_retry(&self, deadline: Instant) -> bool {
        if Instant::now() + RETRY_DELAY >= deadline {
            return false;
        }
        sleep(RETRY_DELAY).await;
        // On timeout the caller still makes a last attempt.
        let _ = timeout_at(deadline, self.store.reachable()).await;
        true
    }
}
