//! What makes a call a turn of a program: its chain, its tokens, its record.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::CallContext;
use crate::core::admission::{AdmissionReply, AdmissionRequest};
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::turns::{
    BranchName, DEFAULT_RETENTION, PrefixHolder, ProgramName, TurnId, TurnRecord, TurnScope,
};
use crate::core::upstreams::UpstreamChoice;
use crate::core::workspaces::qualified_name;
use crate::gateway::attempt::{AttemptLog, chain_body};
use crate::gateway::events::EventParser;
use crate::gateway::refusal::Refusal;
use crate::gateway::turns::{
    ClaimError, ClaimedTurn, MAX_NAME_BYTES, TurnChain, TurnClaim, TurnCoordinator, TurnReservation,
};
use crate::gateway::{Gateway, GatewayMechanism};
use crate::node::platform::StoreError;

/// When a caller may come back while the store is away. What lasts longer than a blip lasts for
/// seconds: sooner, callers would have used up their tries before the store is back.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// Part of the caller's time that a turn waits for a store that is away as a whole. Refused at once, a
/// turn's tries would be used up early in an outage and its program lost; a caller that hears nothing for
/// too long leaves.
const OUTAGE_PATIENCE: f64 = 0.375;
/// Time left to the caller after a reservation is given up.
const RESERVE_MARGIN: Duration = Duration::from_millis(200);

/// When a new program may come back that a coordinator turned away unasked.
const NOT_ADMITTED_RETRY: Duration = Duration::from_millis(500);

/// The part of a call that belongs to a program's history.
pub(super) struct TurnWork {
    scope: TurnScope,
    previous: Option<TurnId>,
    /// The program that made it, if it is another one.
    origin: Option<ProgramName>,
    input: Bytes,
    pub(super) reservation: TurnReservation,
}

/// What the system calls a turn: its caller's names, kept apart by workspace.
struct TurnNames {
    program: ProgramName,
    turn: TurnId,
    previous: Option<TurnId>,
}

impl TurnNames {
    /// None if the call names no program.
    fn of(call: &CallContext) -> Option<Self> {
        let workspace = call.workspace.as_ref().map(|workspace| &workspace.name);
        let own = |name: &str| qualified_name(workspace, name);
        Some(Self {
            program: own(call.head.program.as_deref()?),
            turn: own(&call.id),
            previous: call.head.previous.as_deref().map(own),
        })
    }

    fn longest(&self) -> usize {
        let previous = self.previous.as_ref().map_or(0, |previous| previous.len());
        self.program.len().max(self.turn.len()).max(previous)
    }
}

impl Gateway {
    /// Reads the chain, sets the turn's tokens aside, and puts the chain before the call's input.
    pub(super) async fn prepare_turn(
        self: &Rc<Self>,
        call: &mut CallContext,
        scope: TurnScope,
        log: &AttemptLog,
    ) -> Result<TurnWork, Refusal> {
        let bad = |reason| Refusal::rejected(StatusCode::BAD_REQUEST, reason);
        let names = TurnNames::of(call).ok_or_else(|| bad("no_program"))?;
        if names.longest() > MAX_NAME_BYTES {
            return Err(bad("name_too_long"));
        }
        let reply = match scope {
            TurnScope::History if names.previous.is_some() => AdmissionReply::Admitted,
            TurnScope::History | TurnScope::Tokens => self.admit(call, &names.program),
        };
        let is_shut = reply != AdmissionReply::Admitted;
        if is_shut && scope == TurnScope::History {
            return Err(turned_away(call, &names.program, reply));
        }
        // Only the coordinator knows whether a turn without a history is its program's first.
        let claim = self.turn_claim(call, &names, scope, is_shut);
        let claimed = self.claim_turn(call, claim, log).await.map_err(|error| match error {
            ClaimError::NotAdmitted => turned_away(call, &names.program, reply),
            error => self.claim_refusal(call, &names.program, error),
        })?;
        let ClaimedTurn { chain, holder, reservation } = claimed;
        let input = call.body.clone();
        match scope {
            TurnScope::History => {
                call.holder = self.chain_holder(&chain);
                call.body = chain_body(&chain.turns, &input);
            }
            TurnScope::Tokens => {
                let upstreams = self.news.upstreams.borrow();
                let holder =
                    holder.filter(|held| upstreams.has_incarnation(&held.upstream, held.born));
                call.holder = holder.map(|held| held.upstream);
            }
        }
        let previous = names.previous;
        Ok(TurnWork { scope, previous, origin: chain.origin, input, reservation })
    }

    /// Whether a program's first turn is let in: not while engines have far more than they can do.
    fn admit(&self, call: &CallContext, program: &ProgramName) -> AdmissionReply {
        if !self.settings.uses(GatewayMechanism::AdmissionGate) {
            return AdmissionReply::Admitted;
        }
        let request = AdmissionRequest {
            service: &call.service,
            program,
            priority: call.rank,
            now: Instant::now(),
        };
        self.gate.borrow_mut().admit(&request)
    }

    /// The engine that holds the chain, unless it has started anew since.
    fn chain_holder(&self, chain: &TurnChain) -> Option<UpstreamId> {
        let last = chain.turns.last()?;
        let is_current =
            self.news.upstreams.borrow().has_incarnation(&last.upstream, last.started_at);
        is_current.then(|| last.upstream.clone())
    }

    fn turn_claim(
        &self,
        call: &CallContext,
        names: &TurnNames,
        scope: TurnScope,
        only_known: bool,
    ) -> TurnClaim {
        let retention = call.route.retention.unwrap_or(DEFAULT_RETENTION);
        TurnClaim {
            program: names.program.clone(),
            turn: names.turn.clone(),
            previous: names.previous.clone(),
            most: call.head.max_output.unwrap_or(0),
            budget: call.head.token_budget.unwrap_or(Tokens::MAX),
            // It is kept from its end on, which is not written apart.
            retention: retention + call.deadline.saturating_duration_since(Instant::now()),
            scope,
            line: call.head.branch.clone(),
            only_known,
        }
    }

    fn coordinator(&self, program: &ProgramName) -> TurnCoordinator {
        if !self.settings.uses(GatewayMechanism::Coordinators) {
            return TurnCoordinator::Nobody;
        }
        self.members.coordinator(program).map_or(TurnCoordinator::Here, TurnCoordinator::Peer)
    }

    /// Claims the turn at the instance that coordinates its program, or here.
    async fn claim_turn(
        &self,
        call: &CallContext,
        claim: TurnClaim,
        log: &AttemptLog,
    ) -> Result<ClaimedTurn, ClaimError> {
        let limit = call.deadline - RESERVE_MARGIN.min(call.route.timeout);
        let coordinator = self.coordinator(&claim.program);
        if let TurnCoordinator::Peer(peer) = &coordinator {
            log.coordinator.replace(Some(peer.clone()));
        }
        let claimed = self.claim_through_outage(call, coordinator, claim, limit).await;
        log.claimed_after.set(Some(call.arrived.elapsed()));
        self.metrics.record_reservation(match &claimed {
            Ok(_) => "reserved",
            Err(ClaimError::Exhausted { .. }) => "exhausted",
            Err(ClaimError::NoSuchTurn) => "no_such_turn",
            Err(ClaimError::NotAdmitted) => "not_admitted",
            Err(ClaimError::Store(_) | ClaimError::Doubtful(_)) => "store_failed",
        });
        claimed
    }

    /// Claims a turn; if the whole store is away, as soon as it is back, for as long as the caller has
    /// patience.
    async fn claim_through_outage(
        &self,
        call: &CallContext,
        coordinator: TurnCoordinator,
        claim: TurnClaim,
        limit: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        if !self.settings.uses(GatewayMechanism::OutageWait) {
            return self.turns.claim(coordinator, claim, limit).await;
        }
        let time = call.deadline.saturating_duration_since(call.arrived);
        let patience = call.arrived + time.mul_f64(OUTAGE_PATIENCE);
        loop {
            if self.store.outage().is_some()
                && timeout_at(patience, self.store.reachable()).await.is_err()
            {
                return Err(ClaimError::Store(StoreError::Unavailable));
            }
            let claimed = self.turns.claim(coordinator.clone(), claim.clone(), limit).await;
            let away = matches!(claimed, Err(ClaimError::Store(_)))
                && self.store.outage().is_some()
                && Instant::now() < patience;
            if !away {
                return claimed;
            }
        }
    }

    fn claim_refusal(
        &self,
        call: &CallContext,
        program: &ProgramName,
        error: ClaimError,
    ) -> Refusal {
        match error {
            ClaimError::Exhausted { committed } => {
                log::info!(
                    "event=budget_exhausted request={} program={program} budget={} \
                     committed={committed} most={}",
                    call.id,
                    call.head.token_budget.unwrap_or(Tokens::MAX),
                    call.head.max_output.unwrap_or(0)
                );
                Refusal::rejected(StatusCode::PAYMENT_REQUIRED, "budget_exhausted")
            }
            ClaimError::NotAdmitted => Refusal::not_run("engines_overloaded", NOT_ADMITTED_RETRY),
            ClaimError::NoSuchTurn => Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn"),
            ClaimError::Store(error) | ClaimError::Doubtful(error) => self.store_refusal(&error),
        }
    }

    /// Nothing was sent to an upstream, so the caller may come back.
    fn store_refusal(&self, error: &StoreError) -> Refusal {
        let outage = self.store.outage().unwrap_or_default();
        log::debug!("event=store_refusal error=\"{error}\" outage_ms={}", outage.as_millis());
        Refusal::not_run("store_unavailable", STORE_RETRY)
    }
}

/// The refusal of a program's first turn.
fn turned_away(call: &CallContext, program: &ProgramName, reply: AdmissionReply) -> Refusal {
    let AdmissionReply::Rejected { retry_after, admitted_fraction: share, excess } = reply else {
        return Refusal::not_run("engines_overloaded", NOT_ADMITTED_RETRY);
    };
    log::info!(
        "event=turn_turned_away request={} program={program} service={} priority={} \
         share={share:.2} excess_ms={} retry_ms={}",
        call.id,
        call.service,
        call.rank,
        excess.as_millis(),
        retry_after.as_millis()
    );
    Refusal::not_run("engines_overloaded", retry_after)
}

impl TurnWork {
    /// Notes which engine holds what the next turn of the line begins with.
    pub(super) fn note_holder(&mut self, line: Option<&BranchName>, choice: &UpstreamChoice) {
        self.reservation.note_holder(PrefixHolder {
            line: line.cloned(),
            upstream: choice.id.clone(),
            born: choice.started_at,
        });
    }

    /// Whether the turn's end waits until its record is durable.
    pub(super) fn is_kept(&self) -> bool {
        self.scope == TurnScope::History
    }

    /// Makes a turn durable that has ended whole; false if that failed.
    pub(super) async fn keep(
        self,
        choice: &UpstreamChoice,
        events: EventParser,
        limit: Instant,
    ) -> bool {
        let record = self.record(choice, events);
        self.reservation.complete(record, limit).await
    }

    fn record(&self, choice: &UpstreamChoice, events: EventParser) -> TurnRecord {
        TurnRecord {
            previous: self.previous.clone(),
            origin: self.origin.clone(),
            upstream: choice.id.clone(),
            started_at: choice.started_at,
            used: self.reservation.used(),
            input: self.input.clone(),
            output: events.into_output(),
        }
    }
}
