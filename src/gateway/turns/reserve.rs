//! Reserves the tokens of turns in their program's ledger before they run.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::claim::{ClaimSource, TurnClaim};
use super::{
    LedgerOutcome, RESERVE_COMMIT_DELAY, RETRY_DELAY, ReserveError, TurnManager, TurnReservation,
};
use crate::core::turns::{ProgramLedger, ProgramName, ReserveReply};
use crate::node::platform::StoreError;

struct ReservationOutcome {
    /// Whether the program had a ledger before.
    result: Result<bool, ReserveError>,
    /// A write may still be committed, so the tokens must be released.
    is_indeterminate: bool,
}

pub(super) struct PendingReservation {
    claim: TurnClaim,
    source: ClaimSource,
    /// Turns of the program are part of the claim's chain.
    is_continued: bool,
    deadline: Instant,
    /// All rows of the program were read since its ledger last changed.
    is_loaded: bool,
    is_indeterminate: bool,
    /// As of the last write.
    had_ledger: bool,
    reply: oneshot::Sender<ReservationOutcome>,
}

impl PendingReservation {
    fn finish(self, result: Result<bool, ReserveError>) {
        // A caller that no longer waits releases the reservation on drop.
        let _ =
            self.reply.send(ReservationOutcome { result, is_indeterminate: self.is_indeterminate });
    }
}

/// The queue of a program whose ledger is being written. Nobody would write for what is left in it
/// after a panic, so its callers are told on drop.
struct ReservationQueue {
    manager: Rc<TurnManager>,
    program: ProgramName,
}

impl Drop for ReservationQueue {
    fn drop(&mut self) {
        self.manager.pending.borrow_mut().remove(&self.program);
    }
}

impl TurnManager {
    /// Reserves a turn's maximum number of tokens durably.
    ///
    /// If a reply is lost, the write is retried and finds the reservation if the first attempt was
    /// committed. A reservation that fails or is dropped while its write is in flight is released
    /// by another write of the ledger, which voids the condition of the first. Left open, it would
    /// exhaust the program's budget too early.
    ///
    /// Reservations that arrive while their program's ledger is being written share the next write,
    /// so that sub-agents that start at once do not conflict with one another.
    ///
    /// A program that `is_continued` has a ledger. If it has none, it has been swept, and the
    /// reservation fails with [`ReserveError::Expired`].
    ///
    /// Returns whether the program had a ledger before.
    pub(super) async fn reserve(
        self: &Rc<Self>,
        claim: &TurnClaim,
        is_continued: bool,
        deadline: Instant,
        source: ClaimSource,
        reservation: &mut TurnReservation,
    ) -> Result<bool, ReserveError> {
        let (reply, outcome_receiver) = oneshot::channel();
        let is_indeterminate = !reservation.settled;
        let pending = PendingReservation {
            claim: claim.clone(),
            source,
            is_continued,
            deadline,
            is_loaded: false,
            is_indeterminate,
            had_ledger: false,
            reply,
        };
        // If the caller is dropped while this waits, the reservation is released.
        reservation.settled = false;
        self.enqueue(pending);
        let unknown = ReservationOutcome {
            result: Err(ReserveError::Store(StoreError::ReplyLost)),
            is_indeterminate: true,
        };
        let outcome = outcome_receiver.await.unwrap_or(unknown);
        if outcome.result.is_err() {
            reservation.settled = !outcome.is_indeterminate || source == ClaimSource::Peer;
        }
        outcome.result
    }

    fn enqueue(self: &Rc<Self>, pending: PendingReservation) {
        let program = pending.claim.program.clone();
        let mut groups = self.pending.borrow_mut();
        match groups.get_mut(&program) {
            Some(waiting) => waiting.push(pending),
            None => {
                groups.insert(program.clone(), vec![pending]);
                actix_rt::spawn(self.clone().write_reservations(program));
            }
        }
    }

    async fn write_reservations(self: Rc<Self>, program: ProgramName) {
        let _queue = ReservationQueue { manager: self.clone(), program: program.clone() };
        while let Some(group) = self.take_pending(&program) {
            let remaining = self.reserve_group(&program, group).await;
            let mut groups = self.pending.borrow_mut();
            groups.entry(program.clone()).or_default().extend(remaining);
        }
    }

    /// Takes the program's queue. If it is empty, removes its entry and returns `None`.
    fn take_pending(&self, program: &ProgramName) -> Option<Vec<PendingReservation>> {
        let mut groups = self.pending.borrow_mut();
        let mut waiting = std::mem::take(groups.get_mut(program)?);
        waiting.retain(|pending| !pending.reply.is_closed());
        if waiting.is_empty() {
            groups.remove(program);
            return None;
        }
        Some(waiting)
    }

    /// Reserves for a group in one write. Returns the reservations to retry.
    async fn reserve_group(
        &self,
        program: &ProgramName,
        group: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        let group = self.with_ledger(program, group).await;
        let (version, mut ledger) = self.ledger(program);
        self.settlements.borrow().carry(program);
        let (mut granted, insufficient) = self.reserve_in_ledger(&mut ledger, group);
        let mut remaining = self.reload_program(program, insufficient).await;
        if granted.is_empty() {
            return remaining;
        }
        // The first reservation creates the ledger for the others.
        for (number, pending) in granted.iter_mut().enumerate() {
            pending.had_ledger = version > 0 || number > 0;
        }
        let reply = self.write_ledger(program, version, ledger, RESERVE_COMMIT_DELAY).await;
        match reply {
            Ok(LedgerOutcome::Written) => {
                for pending in granted {
                    let had_ledger = pending.had_ledger;
                    pending.finish(Ok(had_ledger));
                }
            }
            Ok(LedgerOutcome::Removed) => {
                for mut pending in granted {
                    pending.is_indeterminate = false;
                    pending.finish(Err(ReserveError::Expired));
                }
            }
            Ok(LedgerOutcome::Conflict) => {
                remaining.extend(self.resolve_conflict(program, granted))
            }
            Err(StoreError::Unavailable) => {
                for pending in granted {
                    pending.finish(Err(ReserveError::Store(StoreError::Unavailable)));
                }
            }
            Err(error) => remaining.extend(retry_after_lost_reply(granted, &error).await),
        }
        remaining
    }

    /// Reads the ledger if the group needs one, and fails those that need it if there is none. The read
    /// also tells the store's clock, without which a retention cannot be set.
    async fn with_ledger(
        &self,
        program: &ProgramName,
        group: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        let is_clock_known = self.store.clock_millis().is_some();
        let is_continued = group.iter().any(|pending| pending.is_continued);
        let read = async {
            if !is_clock_known {
                self.load_ledger(program).await?;
            }
            if is_continued { self.ensure_ledger(program).await } else { Ok(true) }
        };
        match read.await {
            Ok(true) => group,
            Ok(false) => {
                let (lost, others): (Vec<_>, Vec<_>) =
                    group.into_iter().partition(|pending| pending.is_continued);
                lost.into_iter().for_each(|pending| pending.finish(Err(ReserveError::Expired)));
                others
            }
            Err(error) => {
                for pending in group {
                    pending.finish(Err(ReserveError::Store(error.clone())));
                }
                Vec::new()
            }
        }
    }

    /// Returns the reservations added to `ledger`, and those that it has no capacity for.
    fn reserve_in_ledger(
        &self,
        ledger: &mut ProgramLedger,
        group: Vec<PendingReservation>,
    ) -> (Vec<PendingReservation>, Vec<PendingReservation>) {
        let (mut granted, mut insufficient) = (Vec::new(), Vec::new());
        ledger.remove_expired(self.store.now_millis());
        for pending in group {
            let claim = &pending.claim;
            match pending.source {
                // Looked at with each write: if the turn was taken over since, the ledger has another
                // version than the one that this is conditional on.
                ClaimSource::Peer if self.is_void(claim, ledger) => {
                    log::info!("event=claim_void turn={} program={}", claim.turn, claim.program);
                    pending.finish(Err(ReserveError::Void));
                    continue;
                }
                ClaimSource::Takeover => {
                    ledger.take_over(&claim.turn, self.taken_over_until(claim));
                }
                ClaimSource::Peer | ClaimSource::Coordinator | ClaimSource::Proxy => {}
            }
            match ledger.reserve(&claim.turn, claim.most, claim.budget) {
                ReserveReply::Reserved => {
                    ledger.retain_until(self.retained_until(claim.retention));
                    granted.push(pending);
                }
                ReserveReply::Exhausted { committed, permanent }
                    if pending.is_loaded || permanent || claim.asks_again =>
                {
                    pending.finish(Err(ReserveError::Exhausted { committed, permanent }));
                }
                ReserveReply::Exhausted { .. } => insufficient.push(pending),
            }
        }
        (granted, insufficient)
    }

    fn is_void(&self, claim: &TurnClaim, ledger: &ProgramLedger) -> bool {
        ledger.is_taken_over(&claim.turn) || self.is_expired(claim)
    }

    /// Reloads the program for reservations that do not fit the cached ledger: turns of other
    /// instances may have ended since.
    async fn reload_program(
        &self,
        program: &ProgramName,
        mut insufficient: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        if insufficient.is_empty() {
            return insufficient;
        }
        if let Err(error) = self.load(program).await {
            for pending in insufficient {
                pending.finish(Err(ReserveError::Store(error.clone())));
            }
            return Vec::new();
        }
        insufficient.iter_mut().for_each(|pending| pending.is_loaded = true);
        insufficient
    }

    /// The conflicting write may be an earlier attempt of this group. If not, nothing is reserved, and
    /// the condition of a write in flight can no longer hold.
    fn resolve_conflict(
        &self,
        program: &ProgramName,
        group: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        let (_, ledger) = self.ledger(program);
        let mut remaining = Vec::new();
        for mut pending in group {
            let turn = &pending.claim.turn;
            // The coordinator may repeat its write, unless the ledger says that the turn was taken over.
            let is_marked = pending.source != ClaimSource::Takeover || ledger.is_taken_over(turn);
            if ledger.is_reserved(turn) && is_marked {
                let had_ledger = pending.had_ledger;
                pending.finish(Ok(had_ledger));
                continue;
            }
            pending.is_indeterminate = false;
            // Records that settle turns of the new ledger may not be loaded. Without them the budget
            // would seem exhausted too early.
            pending.is_loaded = false;
            remaining.push(pending);
        }
        remaining
    }
}

/// Returns the reservations that have time for another attempt, after the retry delay.
async fn retry_after_lost_reply(
    mut group: Vec<PendingReservation>,
    error: &StoreError,
) -> Vec<PendingReservation> {
    group.iter_mut().for_each(|pending| pending.is_indeterminate = true);
    let retry_at = Instant::now() + RETRY_DELAY;
    let (remaining, expired): (Vec<_>, Vec<_>) =
        group.into_iter().partition(|pending| retry_at < pending.deadline);
    for pending in expired {
        pending.finish(Err(ReserveError::Store(error.clone())));
    }
    if !remaining.is_empty() {
        sleep(RETRY_DELAY).await;
    }
    remaining
}
