//! Tokens of programs whose history is not kept: set aside for several turns by one write.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::claim::{ClaimError, ClaimSource, ClaimedTurn, MAX_CLAIM_ATTEMPTS, TurnClaim};
use super::{
    BACKGROUND_SETTLE_TIMEOUT, ReserveError, TurnChain, TurnEnd, TurnManager, TurnReservation,
};
use crate::core::turns::{
    PREALLOCATED_TURNS, PrefixHolders, ProgramLedger, ProgramName, ReserveReply, TokenAllowance,
    TurnScope,
};

/// Unused for so long, an allowance may be given back: its program has ended or pauses.
const ALLOWANCE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Allowances that were used so lately are given back when another instance coordinates their programs.
const RECENT_USE_INTERVAL: Duration = Duration::from_secs(5);
/// Allowances below which idle ones are not looked for.
const MIN_PRUNE_COUNT: usize = 1_024;

/// An allowance that this instance holds.
struct HeldAllowance {
    allowance: TokenAllowance,
    used_at: Instant,
    /// Where the last turn of each line of the program ran.
    holders: PrefixHolders,
    /// Whether it holds no tokens ahead, as another instance coordinates the program.
    is_proxy: bool,
}

/// The allowances that this instance holds, by program.
pub(super) struct ProgramAllowances {
    held: HashMap<ProgramName, HeldAllowance>,
    /// Tells this life of the instance from all others.
    incarnation: u64,
    allocated: u64,
    /// How many there may be before idle ones are given back.
    prune_at: usize,
}

impl Default for ProgramAllowances {
    fn default() -> Self {
        Self {
            held: HashMap::new(),
            incarnation: rand::random(),
            allocated: 0,
            prune_at: MIN_PRUNE_COUNT,
        }
    }
}

impl ProgramAllowances {
    fn get_or_create(&mut self, program: &ProgramName, is_proxy: bool) -> &mut HeldAllowance {
        let (life, made) = (self.incarnation, &mut self.allocated);
        self.held.entry(program.clone()).or_insert_with(|| {
            *made += 1;
            let name = format!("{life:016x}-{made}").into();
            let allowance = TokenAllowance::new(name);
            let holders = PrefixHolders::default();
            HeldAllowance { allowance, used_at: Instant::now(), holders, is_proxy }
        })
    }

    /// Drops what is held for a program whose ledger is gone.
    pub(super) fn remove(&mut self, program: &str) {
        self.held.remove(program);
    }

    /// Takes out allowances without a running turn.
    fn take_idle(
        &mut self,
        filter: impl Fn(&HeldAllowance) -> bool,
    ) -> Vec<(ProgramName, TokenAllowance)> {
        let taken = self.held.extract_if(|_, held| held.allowance.is_idle() && filter(held));
        taken.map(|(program, held)| (program, held.allowance)).collect()
    }
}

impl TurnClaim {
    /// How long its program's ledger is to be kept. A ledger that several turns share is not written at
    /// each, so it is kept longer.
    pub(super) fn ledger_retention(&self) -> Duration {
        match self.scope {
            TurnScope::History => self.retention,
            TurnScope::Tokens => self.retention + self.retention / 2,
        }
    }
}

impl TurnManager {
    /// Claims a turn whose history is not kept: out of the program's allowance here, or by a write that
    /// extends it.
    pub(super) async fn claim_tokens(
        self: &Rc<Self>,
        claim: &TurnClaim,
        deadline: Instant,
        source: ClaimSource,
    ) -> Result<ClaimedTurn, ClaimError> {
        let is_coordinator = matches!(source, ClaimSource::Coordinator | ClaimSource::Peer);
        if claim.only_known && is_coordinator && !self.cache.borrow().has_ledger(&claim.program) {
            return Err(ClaimError::NotAdmitted);
        }
        self.prune_allowances();
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        reservation.scope = TurnScope::Tokens;
        if self.draw_from_allowance(claim) {
            return Ok(self.claimed_turn(claim, reservation));
        }
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            match self.reserve(claim, deadline, source, &mut reservation).await {
                Ok(()) => return Ok(self.claimed_turn(claim, reservation)),
                Err(ReserveError::Expired) => {}
                Err(ReserveError::Exhausted { committed }) => {
                    return Err(ClaimError::Exhausted { committed });
                }
                // An extension that takes effect unseen belongs to no turn, so nothing is in doubt.
                Err(ReserveError::Store(error)) => return Err(ClaimError::Store(error)),
            }
        }
        Err(ClaimError::NoSuchTurn)
    }

    fn claimed_turn(&self, claim: &TurnClaim, reservation: TurnReservation) -> ClaimedTurn {
        let allowances = self.allowances.borrow();
        let held = allowances.held.get(&claim.program);
        let holder = held.and_then(|held| held.holders.holder(claim.line.as_ref()).cloned());
        ClaimedTurn { chain: TurnChain::default(), holder, reservation }
    }

    /// Takes a turn's tokens out of what the ledger holds already; false if that takes a write.
    fn draw_from_allowance(&self, claim: &TurnClaim) -> bool {
        if self.pending.borrow().contains_key(&claim.program) {
            return false;
        }
        let mut allowances = self.allowances.borrow_mut();
        let Some(held) = allowances.held.get_mut(&claim.program) else { return false };
        let Some((_, ledger)) = self.cache.borrow().ledger(&claim.program) else { return false };
        let demand = held.allowance.demand(&claim.turn, claim.most);
        let lasts = ledger.retained_until() >= self.retained_until(claim.retention);
        if !lasts || ledger.reserved(held.allowance.name()) < demand.min_tokens {
            return false;
        }
        held.allowance.start(&claim.turn, claim.most);
        held.used_at = Instant::now();
        self.cache.borrow_mut().touch(&claim.program);
        true
    }

    /// Makes the program's allowance in a ledger hold a turn's tokens.
    pub(super) fn extend_allowance(
        &self,
        ledger: &mut ProgramLedger,
        claim: &TurnClaim,
        preallocates: bool,
    ) -> ReserveReply {
        let mut allowances = self.allowances.borrow_mut();
        let held = allowances.get_or_create(&claim.program, !preallocates);
        let preallocates = preallocates && !held.is_proxy;
        let demand = held.allowance.demand(&claim.turn, claim.most);
        let ahead = if preallocates { claim.most.saturating_mul(PREALLOCATED_TURNS) } else { 0 };
        let reply = ledger.extend(held.allowance.name(), demand, ahead, claim.budget);
        if reply == ReserveReply::Reserved {
            held.allowance.start(&claim.turn, claim.most);
            held.used_at = Instant::now();
        }
        reply
    }

    /// Takes a turn out of an allowance whose extension was not written.
    pub(super) fn undo_allowance_start(&self, claim: &TurnClaim) {
        if claim.scope == TurnScope::Tokens
            && let Some(held) = self.allowances.borrow_mut().held.get_mut(&claim.program)
        {
            held.allowance.end(&claim.turn, 0);
        }
    }

    /// Notes what a turn has used of the allowance that is held here.
    pub(super) fn end_turn(self: &Rc<Self>, end: &TurnEnd) {
        let TurnEnd { program, turn, used, ran_at, .. } = end;
        let mut allowances = self.allowances.borrow_mut();
        let Some(held) = allowances.held.get_mut(program) else { return };
        held.allowance.end(turn, *used);
        if let Some(line) = ran_at {
            held.holders.record(line.clone());
        }
        // The coordinator needs what is left here.
        if held.is_proxy && held.allowance.is_idle() {
            let allowance = held.allowance.clone();
            allowances.remove(program);
            let released = self.clone().release_allowance(program.clone(), allowance);
            actix_rt::spawn(released);
        }
    }

    /// Gives back allowances that have been idle for long, when there are many.
    fn prune_allowances(self: &Rc<Self>) {
        let mut allowances = self.allowances.borrow_mut();
        if allowances.held.len() < allowances.prune_at {
            return;
        }
        let idle = allowances.take_idle(|held| held.used_at.elapsed() > ALLOWANCE_IDLE_TIMEOUT);
        allowances.prune_at = MIN_PRUNE_COUNT.max(allowances.held.len() * 2);
        log::info!("event=allowances_pruned idle={} left={}", idle.len(), allowances.held.len());
        for (program, allowance) in idle {
            actix_rt::spawn(self.clone().release_allowance(program, allowance));
        }
    }

    /// Leaves to others the programs in use that they coordinate now: what is held of them is given
    /// back, at once or when their turns here have ended.
    pub(crate) fn release_reassigned_allowances(
        self: &Rc<Self>,
        not_coordinated: impl Fn(Vec<&ProgramName>) -> Vec<ProgramName>,
    ) {
        let mut allowances = self.allowances.borrow_mut();
        let in_use =
            allowances.held.iter().filter(|(_, held)| held.used_at.elapsed() < RECENT_USE_INTERVAL);
        let reassigned = not_coordinated(in_use.map(|(program, _)| program).collect());
        for program in reassigned {
            let Some(held) = allowances.held.get_mut(&program) else { continue };
            held.is_proxy = true;
            if held.allowance.is_idle() {
                let allowance = held.allowance.clone();
                allowances.remove(&program);
                actix_rt::spawn(self.clone().release_allowance(program, allowance));
            }
        }
    }

    /// Gives back what programs that go on elsewhere need, before this instance ends.
    pub(crate) async fn release_allowances(self: &Rc<Self>) {
        let idle = self
            .allowances
            .borrow_mut()
            .take_idle(|held| held.used_at.elapsed() < RECENT_USE_INTERVAL);
        let released = idle
            .into_iter()
            .map(|(program, allowance)| self.clone().release_allowance(program, allowance));
        join_all(released).await;
    }

    async fn release_allowance(self: Rc<Self>, program: ProgramName, allowance: TokenAllowance) {
        let deadline = Instant::now() + BACKGROUND_SETTLE_TIMEOUT;
        self.settle(&program, allowance.name(), allowance.committed(), deadline).await;
    }
}
