//! Settles turns that leave no record: writes to their program's ledger what they used.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use super::messages::TurnEnd;
use super::{
    BACKGROUND_SETTLE_TIMEOUT, LedgerOutcome, RETRY_DELAY, SETTLE_COMMIT_DELAY, TurnManager,
    TurnReservation,
};
use crate::core::turns::{ProgramLedger, ProgramName, TurnId, TurnSettlement, TurnSettlements};

/// Of a settlement that another instance would write too if this one ended. Lets most join the write of
/// a reservation.
pub(super) const SHARED_SETTLE_DELAY: Duration = Duration::from_millis(150);
/// Bounds how long the end of an answer waits for the write of the settlement.
const MAX_END_DELAY: Duration = Duration::from_millis(100);

/// Settlements that are being written.
#[derive(Default)]
pub(super) struct SettlementQueue {
    turns: TurnSettlements,
    /// Notified when a reservation of the program begins to write the ledger, which includes them.
    carried: HashMap<ProgramName, Rc<Notify>>,
}

impl SettlementQueue {
    pub(super) fn apply(&self, program: &str, ledger: &mut ProgramLedger) {
        self.turns.apply(program, ledger);
    }

    pub(super) fn remove_written(&mut self, program: &str, ledger: &ProgramLedger) {
        self.turns.remove_written(program, ledger);
    }

    /// Withdraws the writes of settlements that have not been sent, as a reservation writes them.
    pub(super) fn carry(&self, program: &str) {
        if let Some(carried) = self.carried.get(program) {
            carried.notify_waiters();
        }
    }
}

/// Counts settlements under way, for the shutdown.
#[derive(Default)]
pub(super) struct SettlementCount {
    running: Cell<usize>,
    ended: Notify,
}

struct RunningSettlement(Rc<TurnManager>);

impl RunningSettlement {
    fn new(manager: &Rc<TurnManager>) -> Self {
        manager.settling.running.update(|running| running + 1);
        Self(manager.clone())
    }
}

impl Drop for RunningSettlement {
    fn drop(&mut self) {
        self.0.settling.running.update(|running| running - 1);
        self.0.settling.ended.notify_waiters();
    }
}

/// Includes a settlement in all writes of its program's ledger until it is dropped.
struct QueuedSettlement<'a> {
    manager: &'a TurnManager,
    program: &'a ProgramName,
    turn: &'a TurnId,
    carried: Rc<Notify>,
}

impl<'a> QueuedSettlement<'a> {
    fn new(
        manager: &'a TurnManager,
        program: &'a ProgramName,
        turn: &'a TurnId,
        settlement: TurnSettlement,
    ) -> Self {
        let mut queue = manager.settlements.borrow_mut();
        queue.turns.insert(program, turn, settlement);
        let carried = queue.carried.entry(program.clone()).or_default().clone();
        Self { manager, program, turn, carried }
    }

    fn is_written(&self) -> bool {
        !self.manager.settlements.borrow().turns.contains(self.program, self.turn)
    }
}

impl Drop for QueuedSettlement<'_> {
    fn drop(&mut self) {
        let mut queue = self.manager.settlements.borrow_mut();
        queue.turns.remove(self.program, self.turn);
        // The map and this guard.
        if Rc::strong_count(&self.carried) <= 2 {
            queue.carried.remove(self.program);
        }
    }
}

impl TurnReservation {
    /// Settles a turn whose history is not stored. If no other instance knows of its end, waits until
    /// the settlement is durable.
    pub(crate) async fn finish(mut self) {
        let is_alone = self.coordinator.is_none() && self.manager.store.outage().is_none();
        let max_delay = if is_alone { Duration::ZERO } else { SETTLE_COMMIT_DELAY };
        let settlement = self.spawn_settlement(max_delay);
        if is_alone {
            // It continues if it takes longer.
            let _ = timeout(MAX_END_DELAY, settlement).await;
        }
    }

    pub(super) fn spawn_settlement(&mut self, max_delay: Duration) -> JoinHandle<()> {
        self.settled = true;
        let manager = self.manager.clone();
        let coordinator = self.coordinator.take();
        let end = TurnEnd {
            program: self.program.clone(),
            turn: self.turn.clone(),
            used: self.used,
            scope: self.scope,
            ran_at: self.ran_at.take(),
        };
        let taken_over_until = self.taken_over_until;
        let running = RunningSettlement::new(&manager);
        actix_rt::spawn(async move {
            let _running = running;
            if let Some(peer) = coordinator
                && manager.settle_via_peer(&peer, &end).await
            {
                return;
            }
            manager.end_turn(&end, taken_over_until, max_delay).await;
        })
    }
}

impl TurnManager {
    /// Settles a turn; false if that is not durable.
    pub(super) async fn end_turn(
        self: &Rc<Self>,
        end: &TurnEnd,
        taken_over_until: Option<u64>,
        max_delay: Duration,
    ) -> bool {
        let _running = RunningSettlement::new(self);
        let TurnEnd { program, turn, used, ran_at, .. } = end;
        if let Some(holder) = ran_at {
            self.holders.borrow_mut().record(program, holder.clone());
        }
        let deadline = Instant::now() + BACKGROUND_SETTLE_TIMEOUT;
        let settlement = TurnSettlement { used: *used, taken_over_until };
        self.settle(program, turn, settlement, max_delay, deadline).await
    }

    /// Replaces a turn's reservation by what it used. `max_delay` is how long the write may wait for
    /// others to join.
    async fn settle(
        &self,
        program: &ProgramName,
        turn: &TurnId,
        settlement: TurnSettlement,
        mut max_delay: Duration,
        deadline: Instant,
    ) -> bool {
        let TurnSettlement { used, taken_over_until } = settlement;
        let queued = QueuedSettlement::new(self, program, turn, settlement);
        while !queued.is_written() {
            let (version, ledger) = self.ledger(program);
            let outcome = tokio::select! {
                outcome = self.write_ledger(program, version, ledger, max_delay) => outcome,
                () = queued.carried.notified() => {
                    sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            match outcome {
                Ok(LedgerOutcome::Written | LedgerOutcome::Removed) => return true,
                // The ledger has changed, so a write in flight can no longer reserve the turn either. Its
                // coordinator may write anew, unless the ledger says that the turn was taken over.
                Ok(LedgerOutcome::Conflict)
                    if taken_over_until.is_none() && !self.is_reserved(program, turn) =>
                {
                    return true;
                }
                // Another instance reserves for the program, to which these tokens may be missing.
                Ok(LedgerOutcome::Conflict) => max_delay = Duration::ZERO,
                Err(error) => {
                    if self.wait_before_retry(deadline).await {
                        continue;
                    }
                    log::warn!(
                        "event=settle_failed program={program} turn={turn} used={used} error=\"{error}\""
                    );
                    return false;
                }
            }
        }
        true
    }

    /// Whether the newest known ledger of the store reserves the turn.
    fn is_reserved(&self, program: &str, turn: &TurnId) -> bool {
        let ledger = self.cache.borrow().ledger(program);
        ledger.is_some_and(|(_, ledger)| ledger.is_reserved(turn))
    }

    /// Waits until no settlement is under way.
    pub(crate) async fn settled(&self) {
        loop {
            let ended = self.settling.ended.notified();
            if self.settling.running.get() == 0 {
                return;
            }
            ended.await;
        }
    }
}
