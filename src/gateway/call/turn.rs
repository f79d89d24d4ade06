//! What makes a call a turn of a program: its chain, its tokens, its record.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::Instant;

use super::CallContext;
use crate::core::ids::{Tokens, UpstreamId};
use crate::core::turns::{ProgramName, TurnId, TurnRecord};
use crate::core::upstreams::UpstreamChoice;
use crate::gateway::Gateway;
use crate::gateway::attempt::chain_body;
use crate::gateway::events::EventParser;
use crate::gateway::refusal::Refusal;
use crate::gateway::turns::{
    ChainError, MAX_NAME_BYTES, ReserveError, TurnChain, TurnClaim, TurnReservation,
};
use crate::node::platform::StoreError;

/// When a caller may come back while the store is away. What lasts longer than a blip lasts for
/// seconds; callers wait up to a third of their time, which is 2 s for a turn, and try a few times:
/// sooner, they would have used up their tries before the store is back.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// Time left to the caller after a reservation is given up.
const RESERVE_MARGIN: Duration = Duration::from_millis(200);
/// Times a turn is prepared before what it continues from counts as gone.
const CLAIM_TRIES: usize = 3;

/// The part of a call that belongs to a program's history.
pub(super) struct TurnWork {
    previous: Option<TurnId>,
    /// The program that made it, if it is another one.
    origin: Option<ProgramName>,
    input: Bytes,
    pub(super) reservation: TurnReservation,
}

impl Gateway {
    /// Reads the chain, sets the turn's tokens aside, and puts the chain before the call's input.
    pub(super) async fn prepare_turn(
        self: &Rc<Self>,
        call: &mut CallContext,
    ) -> Result<TurnWork, Refusal> {
        let bad = |reason| Refusal::rejected(StatusCode::BAD_REQUEST, reason);
        let program = call.head.program.clone().ok_or_else(|| bad("no_program"))?;
        if call.id.len() > MAX_NAME_BYTES || program.len() > MAX_NAME_BYTES {
            return Err(bad("name_too_long"));
        }
        let (chain, reservation) = self.claim_turn(call, &program).await?;
        let input = call.body.clone();
        call.holder = self.chain_holder(&chain);
        call.body = chain_body(&chain.turns, &input);
        let previous = call.head.previous.clone();
        Ok(TurnWork { previous, origin: chain.origin, input, reservation })
    }

    /// The engine that holds the chain, unless it has started anew since.
    fn chain_holder(&self, chain: &TurnChain) -> Option<UpstreamId> {
        let last = chain.turns.last()?;
        let lives = self.news.upstreams.borrow().lives(&last.upstream, last.born);
        lives.then(|| last.upstream.clone())
    }

    /// Reads what a turn continues from and sets its tokens aside, anew if it has expired since it
    /// was seen here.
    async fn claim_turn(
        &self,
        call: &CallContext,
        program: &ProgramName,
    ) -> Result<(TurnChain, TurnReservation), Refusal> {
        let not_found = || Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn");
        for _ in 0..CLAIM_TRIES {
            let chain = match &call.head.previous {
                Some(previous) => self.turns.chain(program, previous).await,
                None => Ok(TurnChain::default()),
            };
            let chain = chain.map_err(|error| match error {
                ChainError::NoSuchTurn => not_found(),
                ChainError::Store(error) => self.store_refusal(&error),
            })?;
            match self.reserve(call, program, &chain).await {
                Ok(reservation) => return Ok((chain, reservation)),
                Err(ReserveError::Expired) => {}
                Err(error) => return Err(self.reserve_refusal(call, program, error)),
            }
        }
        Err(not_found())
    }

    async fn reserve(
        &self,
        call: &CallContext,
        program: &ProgramName,
        chain: &TurnChain,
    ) -> Result<TurnReservation, ReserveError> {
        let retention = call.route.retention.unwrap_or_default();
        // It is kept from its end on, which is not written apart.
        let retention = retention + call.deadline.saturating_duration_since(Instant::now());
        for origin in chain.origins() {
            self.turns.keep(&origin, retention, call.deadline).await?;
        }
        let budget = call.head.token_budget.unwrap_or(Tokens::MAX);
        let most = call.head.max_output.unwrap_or(0);
        let limit = call.deadline - RESERVE_MARGIN.min(call.route.timeout);
        let claim = TurnClaim { most, budget, retention };
        let reserved = self.turns.reserve(program, &call.id, claim, limit).await;
        self.metrics.reserved(match &reserved {
            Ok(_) => "reserved",
            Err(ReserveError::Exhausted { .. }) => "exhausted",
            Err(ReserveError::Expired) => "expired",
            Err(ReserveError::Store(_)) => "store_failed",
        });
        reserved
    }

    fn reserve_refusal(
        &self,
        call: &CallContext,
        program: &ProgramName,
        error: ReserveError,
    ) -> Refusal {
        match error {
            ReserveError::Exhausted { committed } => {
                log::info!(
                    "event=budget_exhausted request={} program={program} budget={} \
                     committed={committed} most={}",
                    call.id,
                    call.head.token_budget.unwrap_or(Tokens::MAX),
                    call.head.max_output.unwrap_or(0)
                );
                Refusal::rejected(StatusCode::PAYMENT_REQUIRED, "budget_exhausted")
            }
            ReserveError::Expired => Refusal::rejected(StatusCode::NOT_FOUND, "no_such_turn"),
            ReserveError::Store(error) => self.store_refusal(&error),
        }
    }

    /// Nothing was sent to an upstream, so the caller may come back.
    fn store_refusal(&self, error: &StoreError) -> Refusal {
        let outage = self.store.outage().unwrap_or_default();
        log::debug!("event=store_refusal error=\"{error}\" outage_ms={}", outage.as_millis());
        Refusal::not_run("store_unavailable", STORE_RETRY)
    }
}

impl TurnWork {
    pub(super) fn record(&self, choice: &UpstreamChoice, events: EventParser) -> TurnRecord {
        TurnRecord {
            previous: self.previous.clone(),
            origin: self.origin.clone(),
            upstream: choice.id.clone(),
            born: choice.born,
            used: self.reservation.used(),
            input: self.input.clone(),
            output: events.into_output(),
        }
    }
}
