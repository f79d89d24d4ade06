//! Finds out whether an earlier turn of a program was claimed.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use tokio::time::{Instant, timeout, timeout_at};

use super::TurnManager;
use super::claim::TurnClaim;
use crate::core::turns::ProgramName;

/// Programs make their next turn within a few seconds, so afterwards the cache has the ledgers of all
/// that moved here.
const READ_PERIOD: Duration = Duration::from_secs(5);
/// An overload refuses many programs at once, for which the store must not be read.
const MAX_READS: usize = 4;
/// Less than the shortest timeout of a peer's claim, after which the peer would claim the turn without
/// its coordinator.
const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Covers the first retries of a refused program.
const ABSENCE_LIFETIME: Duration = Duration::from_secs(1);
const MAX_ABSENT: usize = 1_024;

/// Reads of ledgers that this instance does not have, as their programs moved to it recently.
pub(super) struct LedgerReads {
    moved_at: Instant,
    running: HashMap<ProgramName, Shared<LocalBoxFuture<'static, bool>>>,
    /// Programs without a ledger, and when that was read.
    absent: HashMap<ProgramName, Instant>,
}

impl Default for LedgerReads {
    fn default() -> Self {
        Self { moved_at: Instant::now(), running: HashMap::new(), absent: HashMap::new() }
    }
}

impl LedgerReads {
    fn may_start(&self, program: &ProgramName) -> bool {
        let is_absent = self.absent.get(program).is_some_and(|at| at.elapsed() < ABSENCE_LIFETIME);
        !is_absent && self.moved_at.elapsed() < READ_PERIOD && self.running.len() < MAX_READS
    }

    fn record_absent(&mut self, program: ProgramName) {
        if self.absent.len() >= MAX_ABSENT {
            self.absent.retain(|_, at| at.elapsed() < ABSENCE_LIFETIME);
        }
        if self.absent.len() < MAX_ABSENT {
            self.absent.insert(program, Instant::now());
        }
    }
}

/// Removes the entry of a read, also after a panic.
struct RunningRead<'a> {
    manager: &'a TurnManager,
    program: &'a ProgramName,
}

impl Drop for RunningRead<'_> {
    fn drop(&mut self) {
        self.manager.ledger_reads.borrow_mut().running.remove(self.program);
    }
}

impl TurnManager {
    /// Programs that other instances coordinated have moved to this one.
    pub(crate) fn record_moved_programs(&self) {
        self.ledger_reads.borrow_mut().moved_at = Instant::now();
    }

    /// Whether this instance, as the program's coordinator, knows an earlier turn of it. A read that
    /// fails or is not made counts as none.
    pub(super) async fn is_known(self: &Rc<Self>, claim: &TurnClaim, deadline: Instant) -> bool {
        if self.cache.borrow().has_ledger(&claim.program) {
            return true;
        }
        if !claim.reads_store {
            return false;
        }
        let Some(read) = self.ledger_read(&claim.program) else { return false };
        matches!(timeout_at(deadline, read).await, Ok(true))
    }

    /// Joins or starts a read of the program's ledger; `None` if there may be no further one.
    fn ledger_read(
        self: &Rc<Self>,
        program: &ProgramName,
    ) -> Option<Shared<LocalBoxFuture<'static, bool>>> {
        let mut reads = self.ledger_reads.borrow_mut();
        if let Some(read) = reads.running.get(program) {
            return Some(read.clone());
        }
        if !reads.may_start(program) {
            return None;
        }
        // Ends also if no claim waits for it any longer.
        let task = actix_rt::spawn(self.clone().read_ledger(program.clone()));
        let read = task.map(|found| found.unwrap_or(false)).boxed_local().shared();
        reads.running.insert(program.clone(), read.clone());
        Some(read)
    }

    async fn read_ledger(self: Rc<Self>, program: ProgramName) -> bool {
        let _running = RunningRead { manager: &self, program: &program };
        let loaded = timeout(READ_TIMEOUT, self.load_ledger(&program)).await;
        let is_found = self.cache.borrow().has_ledger(&program);
        if matches!(loaded, Ok(Ok(()))) && !is_found {
            self.ledger_reads.borrow_mut().record_absent(program.clone());
        }
        is_found
    }
}
