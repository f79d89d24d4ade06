//! Handles calls that are turns of a program: claims the turn, reads its chain and persists it.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

use super::CallContext;
use super::admission::TurnVerdict;
use super::prepare::MEMORY_WAIT_DIVISOR;
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::turns::{
    BranchName, DEFAULT_RETENTION, PrefixHolder, ProgramName, TurnId, TurnRecord, TurnScope,
};
use crate::core::upstreams::UpstreamChoice;
use crate::core::workspaces::qualified_name;
use crate::gateway::attempt::{AttemptProgress, chain_body};
use crate::gateway::events::EventParser;
use crate::gateway::refusal::Refusal;
use crate::gateway::turns::{
    ClaimError, ClaimedTurn, MAX_NAME_BYTES, TurnChain, TurnClaim, TurnCoordinator, TurnReservation,
};
use crate::gateway::{Gateway, GatewayMechanism};
use crate::node::platform::StoreError;

/// Store outages last for seconds; a shorter delay would exhaust the caller's retries before the
/// recovery.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Share of the call's timeout that a turn waits for an unavailable store. An immediate refusal would
/// exhaust the caller's retries early in an outage; a longer wait would make the caller disconnect.
const MAX_OUTAGE_WAIT_SHARE: f64 = 0.375;
/// Leaves time to send a refusal before the caller's deadline.
const CLAIM_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);

/// Fallback where a coordinator rejects a program that this instance admitted.
pub(super) const NOT_ADMITTED_RETRY_DELAY: Duration = Duration::from_millis(500);

pub(super) struct ActiveTurn {
    scope: TurnScope,
    previous: Option<TurnId>,
    /// The program that made the previous turn, if it is another one.
    origin: Option<ProgramName>,
    input: Bytes,
    pub(super) reservation: TurnReservation,
}

/// Names given by the caller, qualified by workspace.
struct TurnNames {
    program: ProgramName,
    turn: TurnId,
    previous: Option<TurnId>,
}

impl TurnNames {
    /// `None` if the call names no program.
    fn of(call: &CallContext) -> Option<Self> {
        let workspace = call.workspace.as_ref().map(|workspace| &workspace.name);
        let qualify = |name: &str| qualified_name(workspace, name);
        Some(Self {
            program: qualify(call.head.program.as_deref()?),
            turn: qualify(&call.id),
            previous: call.head.previous.as_deref().map(qualify),
        })
    }

    fn max_len(&self) -> usize {
        let previous = self.previous.as_ref().map_or(0, |previous| previous.len());
        self.program.len().max(self.turn.len()).max(previous)
    }
}

/// Whether the program is new. A coordinator of an older release does not say so; then an engine of an
/// earlier turn shows that it is not, but none is known while the first turns run.
fn is_new(claimed: &ClaimedTurn) -> bool {
    !claimed.had_ledger.unwrap_or(claimed.holder.is_some())
}

impl Gateway {
    /// Reserves the turn's tokens and puts its chain before the call's input.
    pub(super) async fn prepare_turn(
        self: &Rc<Self>,
        call: &mut CallContext,
        scope: TurnScope,
        progress: &AttemptProgress,
    ) -> Result<ActiveTurn, Refusal> {
        let bad_request = |reason| Refusal::rejected(StatusCode::BAD_REQUEST, reason);
        let names = TurnNames::of(call).ok_or_else(|| bad_request("no_program"))?;
        if names.max_len() > MAX_NAME_BYTES {
            return Err(bad_request("name_too_long"));
        }
        let verdict = match scope {
            TurnScope::History if names.previous.is_some() => TurnVerdict::Admitted,
            TurnScope::History | TurnScope::Tokens => self.admit(call, &names.program),
        };
        let is_rejected = verdict != TurnVerdict::Admitted;
        if is_rejected && scope == TurnScope::History {
            return Err(self.admission_refusal(call, &names.program, verdict));
        }
        // Without a history only the coordinator knows whether a turn is its program's first.
        let claim = self.turn_claim(call, &names, scope, &verdict);
        let claimed =
            self.claim_turn(call, claim, progress).await.map_err(|error| match error {
                ClaimError::NotAdmitted => self.admission_refusal(call, &names.program, verdict),
                error => self.claim_refusal(call, &names.program, error),
            })?;
        let is_first = names.previous.is_none() && is_new(&claimed);
        let ClaimedTurn { chain, holder, reservation, .. } = claimed;
        self.record_started(call, &names.program, is_first);
        let input = match scope {
            TurnScope::History => {
                call.holder = self.chain_holder(&chain);
                let input = call.body.take();
                self.acquire_chain(call, &chain, &input).await?;
                call.body.replace(chain_body(&chain.turns, &input));
                input
            }
            TurnScope::Tokens => {
                let upstreams = self.feed.upstreams.borrow();
                let holder =
                    holder.filter(|held| upstreams.has_incarnation(&held.upstream, held.born));
                call.holder = holder.map(|held| held.upstream);
                Bytes::new()
            }
        };
        let previous = names.previous;
        Ok(ActiveTurn { scope, previous, origin: chain.origin, input, reservation })
    }

    /// Acquires memory for the body that consists of the chain and the input.
    async fn acquire_chain(
        &self,
        call: &CallContext,
        chain: &TurnChain,
        input: &Bytes,
    ) -> Result<(), Refusal> {
        let chain_bytes: usize = chain.turns.iter().map(|turn| turn.bytes()).sum();
        if chain_bytes == 0 {
            return Ok(());
        }
        let wait = call.route.objective / MEMORY_WAIT_DIVISOR;
        let acquired = call.memory.acquire(chain_bytes + input.len(), wait).await;
        acquired.map_err(|_| Refusal::memory_full())
    }

    /// `None` if the engine that ran the last turn has restarted since, which empties its cache.
    fn chain_holder(&self, chain: &TurnChain) -> Option<UpstreamId> {
        let last = chain.turns.last()?;
        let is_current =
            self.feed.upstreams.borrow().has_incarnation(&last.upstream, last.started_at);
        is_current.then(|| last.upstream.clone())
    }

    fn turn_claim(
        &self,
        call: &CallContext,
        names: &TurnNames,
        scope: TurnScope,
        verdict: &TurnVerdict,
    ) -> TurnClaim {
        let retention = call.route.retention.unwrap_or(DEFAULT_RETENTION);
        TurnClaim {
            program: names.program.clone(),
            turn: names.turn.clone(),
            previous: names.previous.clone(),
            most: call.head.max_output.unwrap_or(0),
            budget: call.head.token_budget.unwrap_or(Tokens::MAX),
            // Retention counts from the end of the turn, which is at the latest its deadline.
            retention: retention + call.deadline.saturating_duration_since(Instant::now()),
            scope,
            line: call.head.branch.clone(),
            expires_ms: None,
            asks_again: false,
            only_known: *verdict != TurnVerdict::Admitted,
            reads_store: matches!(verdict, TurnVerdict::ByLoad(..)),
        }
    }

    fn coordinator(&self, program: &ProgramName) -> TurnCoordinator {
        if !self.settings.uses(GatewayMechanism::Coordinators) {
            return TurnCoordinator::Unassigned;
        }
        self.members.coordinator(program).map_or(TurnCoordinator::Local, TurnCoordinator::Peer)
    }

    async fn claim_turn(
        &self,
        call: &CallContext,
        claim: TurnClaim,
        progress: &AttemptProgress,
    ) -> Result<ClaimedTurn, ClaimError> {
        let claim_deadline = call.deadline - CLAIM_TIMEOUT_MARGIN.min(call.route.timeout);
        let coordinator = self.coordinator(&claim.program);
        if let TurnCoordinator::Peer(peer) = &coordinator {
            progress.coordinator.replace(Some(peer.clone()));
        }
        let claimed = self.claim_with_outage_wait(call, coordinator, claim, claim_deadline).await;
        progress.claimed_after.set(Some(call.arrived.elapsed()));
        self.metrics.record_reservation(match &claimed {
            Ok(_) => "reserved",
            Err(ClaimError::Exhausted { .. }) => "exhausted",
            Err(ClaimError::NoSuchTurn) => "no_such_turn",
            Err(ClaimError::NotAdmitted) => "not_admitted",
            Err(ClaimError::MemoryExhausted) => "memory_exhausted",
            Err(ClaimError::Store(_) | ClaimError::Indeterminate(_)) => "store_failed",
        });
        claimed
    }

    /// During an outage of the store, retries after its recovery until the outage deadline.
    async fn claim_with_outage_wait(
        &self,
        call: &CallContext,
        coordinator: TurnCoordinator,
        claim: TurnClaim,
        claim_deadline: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        if !self.settings.uses(GatewayMechanism::OutageWait) {
            return self.turns.claim(coordinator, claim, claim_deadline).await;
        }
        let timeout = call.deadline.saturating_duration_since(call.arrived);
        let outage_deadline = call.arrived + timeout.mul_f64(MAX_OUTAGE_WAIT_SHARE);
        loop {
            if self.store.outage().is_some()
                && timeout_at(outage_deadline, self.store.reachable()).await.is_err()
            {
                return Err(ClaimError::Store(StoreError::Unavailable));
            }
            let claimed =
                self.turns.claim(coordinator.clone(), claim.clone(), claim_deadline).await;
            let should_retry = matches!(claimed, Err(ClaimError::Store(_)))
                && self.store.outage().is_some()
                && Instant::now() < outage_deadline;
            if !should_retry {
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
            ClaimError::Exhausted { committed, .. } => {
                log::info!(
                    "event=budget_exhausted request={} program={program} budget={} \
                     committed={committed} most={}",
                    call.id,
                    call.head.token_budget.unwrap_or(Tokens::MAX),
                    call.head.max_output.unwrap_or(0)
                );
                Refusal::rejected(StatusCode::PAYMENT_REQUIRED, "budget_exhausted")
            }
            ClaimError::NotAdmitted => {
                Refusal::not_run("engines_overloaded", NOT_ADMITTED_RETRY_DELAY)
            }
            ClaimError::NoSuchTurn => Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn"),
            ClaimError::MemoryExhausted => Refusal::memory_full(),
            ClaimError::Store(error) | ClaimError::Indeterminate(error) => {
                self.store_refusal(&error)
            }
        }
    }

    /// The call has not been sent to an upstream, so the caller may retry.
    fn store_refusal(&self, error: &StoreError) -> Refusal {
        let outage = self.store.outage().unwrap_or_default();
        log::debug!("event=store_refusal error=\"{error}\" outage_ms={}", outage.as_millis());
        Refusal::not_run("store_unavailable", STORE_RETRY_DELAY)
    }
}

impl ActiveTurn {
    /// Records the engine that holds the prompt prefix of the branch's next turn.
    pub(super) fn record_holder(&mut self, line: Option<&BranchName>, choice: &UpstreamChoice) {
        self.reservation.record_holder(PrefixHolder {
            line: line.cloned(),
            upstream: choice.id.clone(),
            born: choice.started_at,
        });
    }

    /// The response ends only after the record of such a turn is durable.
    pub(super) fn is_persisted(&self) -> bool {
        self.scope == TurnScope::History
    }

    /// Ends a turn whose history is not stored.
    pub(super) async fn finish(self) {
        self.reservation.finish().await;
    }

    /// Returns false if the record may not be durable.
    pub(super) async fn persist(
        self,
        choice: &UpstreamChoice,
        events: EventParser,
        deadline: Instant,
    ) -> bool {
        let record = self.record(choice, events);
        self.reservation.complete(record, deadline).await
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
