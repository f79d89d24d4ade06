//! Tokens set aside before a turn runs.

use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::claim::{ClaimSource, TurnClaim};
use super::{
    LedgerOutcome, RESERVE_COMMIT_DELAY, RETRY_DELAY, ReserveError, TurnManager, TurnReservation,
};
use crate::core::turns::{ProgramLedger, ProgramName, ReserveReply, TurnScope};
use crate::node::platform::StoreError;

/// What became of a reservation.
struct ReservationOutcome {
    result: Result<(), ReserveError>,
    /// Whether a write may take effect that was not seen to: the tokens must be taken back.
    is_indeterminate: bool,
}

/// A reservation that waits for its program's ledger.
pub(super) struct PendingReservation {
    claim: TurnClaim,
    deadline: Instant,
    /// Whether all that the store has of the program was read since its ledger last changed.
    is_loaded: bool,
    is_indeterminate: bool,
    /// Whether tokens of further turns are set aside too.
    preallocates: bool,
    reply: oneshot::Sender<ReservationOutcome>,
}

impl PendingReservation {
    fn finish(self, result: Result<(), ReserveError>) {
        // Whoever no longer waits takes back what may stand.
        let _ =
            self.reply.send(ReservationOutcome { result, is_indeterminate: self.is_indeterminate });
    }
}

impl TurnManager {
    /// Sets a turn's most tokens aside, durably, before it runs.
    ///
    /// A lost reply is no refusal and no grant: the same write is tried again, and finds the
    /// reservation if the first one took effect. A reservation that is given up, or whose caller
    /// leaves, while its write may still take effect is taken back: any write of the ledger voids the
    /// condition of the one on its way. Left alone, it would end the program's budget too soon.
    ///
    /// Reservations of one program that come while its ledger is being written go together in the
    /// next write; each by itself, sub-agents that start at once would conflict with one another.
    pub(super) async fn reserve(
        self: &Rc<Self>,
        claim: &TurnClaim,
        deadline: Instant,
        source: ClaimSource,
        reservation: &mut TurnReservation,
    ) -> Result<(), ReserveError> {
        let (reply, outcome_receiver) = oneshot::channel();
        let is_indeterminate = !reservation.settled;
        let pending = PendingReservation {
            claim: claim.clone(),
            deadline,
            is_loaded: false,
            is_indeterminate,
            preallocates: matches!(source, ClaimSource::Coordinator | ClaimSource::Peer),
            reply,
        };
        // A caller that leaves while this is under way drops what is held.
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

    /// Writes a program's ledger until no reservation of it waits.
    async fn write_reservations(self: Rc<Self>, program: ProgramName) {
        while let Some(group) = self.take_pending(&program) {
            let left = self.reserve_group(&program, group).await;
            let mut groups = self.pending.borrow_mut();
            groups.entry(program.clone()).or_default().extend(left);
        }
    }

    /// The reservations that wait; none if there are none, after which the next one starts anew.
    fn take_pending(&self, program: &ProgramName) -> Option<Vec<PendingReservation>> {
        let mut groups = self.pending.borrow_mut();
        let mut waiting = std::mem::take(groups.get_mut(program)?);
        // Callers that have left; nothing of theirs is to be set aside any more.
        waiting.retain(|pending| !pending.reply.is_closed());
        if waiting.is_empty() {
            groups.remove(program);
            return None;
        }
        Some(waiting)
    }

    /// One write for a group; those for which it has to be tried again.
    async fn reserve_group(
        &self,
        program: &ProgramName,
        group: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        let (version, mut ledger) = self.ledger(program);
        let (granted, insufficient) = self.reserve_in_ledger(&mut ledger, group);
        let mut left = self.reload_program(program, insufficient).await;
        if granted.is_empty() {
            return left;
        }
        let reply = self.write_ledger(program, version, ledger, RESERVE_COMMIT_DELAY).await;
        if !matches!(reply, Ok(LedgerOutcome::Written)) {
            granted.iter().for_each(|pending| self.undo_allowance_start(&pending.claim));
        }
        match reply {
            Ok(LedgerOutcome::Written) => {
                granted.into_iter().for_each(|pending| pending.finish(Ok(())))
            }
            Ok(LedgerOutcome::Removed) => {
                for mut pending in granted {
                    pending.is_indeterminate = false;
                    pending.finish(Err(ReserveError::Expired));
                }
            }
            Ok(LedgerOutcome::Conflict) => left.extend(self.resolve_conflict(program, granted)),
            Err(StoreError::Unavailable) => {
                for pending in granted {
                    pending.finish(Err(ReserveError::Store(StoreError::Unavailable)));
                }
            }
            Err(error) => left.extend(retry_after_lost_reply(granted, &error).await),
        }
        left
    }

    /// Sets aside in a ledger what it has room for; those it has and those it has not.
    fn reserve_in_ledger(
        &self,
        ledger: &mut ProgramLedger,
        group: Vec<PendingReservation>,
    ) -> (Vec<PendingReservation>, Vec<PendingReservation>) {
        let (mut granted, mut insufficient) = (Vec::new(), Vec::new());
        for pending in group {
            let claim = &pending.claim;
            let reply = match claim.scope {
                TurnScope::History => ledger.reserve(&claim.turn, claim.most, claim.budget),
                TurnScope::Tokens => self.extend_allowance(ledger, claim, pending.preallocates),
            };
            match reply {
                ReserveReply::Reserved => {
                    ledger.retain_until(self.retained_until(claim.ledger_retention()));
                    granted.push(pending);
                }
                ReserveReply::Exhausted { committed, permanent }
                    if pending.is_loaded || permanent =>
                {
                    pending.finish(Err(ReserveError::Exhausted { committed }));
                }
                ReserveReply::Exhausted { .. } => insufficient.push(pending),
            }
        }
        (granted, insufficient)
    }

    /// Reads the program anew for those whom its known state has no room for: turns of other
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

    /// Another write came first. An earlier try of ours may have been it; else nothing stands, and no
    /// write still on its way can meet its condition.
    fn resolve_conflict(
        &self,
        program: &ProgramName,
        group: Vec<PendingReservation>,
    ) -> Vec<PendingReservation> {
        let (_, ledger) = self.ledger(program);
        let mut left = Vec::new();
        for mut pending in group {
            if ledger.is_reserved(&pending.claim.turn) {
                pending.finish(Ok(()));
                continue;
            }
            pending.is_indeterminate = false;
            // The ledger is new, the records that settle its open turns may not be known: taken for
            // all, a program is told that its budget is spent when it is not.
            pending.is_loaded = false;
            left.push(pending);
        }
        left
    }
}

/// A write's reply is missing: those that have time left try again.
async fn retry_after_lost_reply(
    mut group: Vec<PendingReservation>,
    error: &StoreError,
) -> Vec<PendingReservation> {
    group.iter_mut().for_each(|pending| pending.is_indeterminate = true);
    let again = Instant::now() + RETRY_DELAY;
    let (left, late): (Vec<_>, Vec<_>) =
        group.into_iter().partition(|pending| again < pending.deadline);
    for pending in late {
        pending.finish(Err(ReserveError::Store(error.clone())));
    }
    if !left.is_empty() {
        sleep(RETRY_DELAY).await;
    }
    left
}
