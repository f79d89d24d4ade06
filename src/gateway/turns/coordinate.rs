//! Turns that another instance claims, keeps and settles for this one.
//!
//! All turns of a program that meet at one instance find its chain and its ledger in memory, do not
//! conflict, and share transactions. The coordinator is a hint: whatever it does not answer is done
//! here, and since all writes have conditions and name the turn, doing it twice changes nothing.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use tokio::time::Instant;

use super::claim::{ClaimError, ClaimSource, ClaimedTurn, TurnClaim};
use super::messages::{ClaimReply, ClaimRequest, KeepRequest, TurnEnd};
use super::{ChainError, SETTLE_PATIENCE, TurnChain, TurnKeeper};
use crate::core::turns::{ProgramName, TurnId, TurnRecord, TurnScope};
use crate::gateway::http::ExchangeError;
use crate::gateway::latency::{FailedPeers, LatencyEstimate};
use crate::node::platform::StoreError;
use crate::util::framed::{frame, unframe};

/// Paths on the address for peers.
pub(crate) const CLAIM_PATH: &str = "/claim";
pub(crate) const KEEP_PATH: &str = "/keep";
pub(crate) const SETTLE_PATH: &str = "/settle";

/// Shortest and longest wait for a coordinator before its work is done here, and its multiple of the
/// usual answer time: as for calls of the store, which such an answer includes.
const PATIENCE_MIN: Duration = Duration::from_millis(120);
const PATIENCE_MAX: Duration = Duration::from_millis(700);
const PATIENCE_FACTOR: f64 = 4.0;
/// Share of the newest answer time in the usual one: about the last eight count.
const LATENCY_SHARE: f64 = 0.125;
/// How long a coordinator that did not answer is passed over: members find out within a second or so
/// whether it is gone, and each claim that still tries waits in vain.
const PASSED_OVER: Duration = Duration::from_millis(800);

/// Who coordinates a program, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TurnCoordinator {
    Here,
    /// The instance at this address for peers.
    Peer(Box<str>),
    /// Each instance claims its own turns.
    Nobody,
}

/// What is known of coordinators as peers.
#[derive(Debug)]
pub(super) struct CoordinatorHealth {
    latency: LatencyEstimate,
    failed: FailedPeers,
}

impl Default for CoordinatorHealth {
    fn default() -> Self {
        let failed = FailedPeers::new(PASSED_OVER);
        Self { latency: LatencyEstimate::new(LATENCY_SHARE), failed }
    }
}

/// Why a coordinator's answer is missing.
enum PeerFailure {
    /// It has not heard of the work.
    NotSent,
    /// It may be doing it.
    Unknown,
}

fn left_ms(limit: Instant) -> u64 {
    limit.saturating_duration_since(Instant::now()).as_millis() as u64
}

impl TurnKeeper {
    /// Claims a turn at its coordinator; here if there is no other or it does not answer.
    pub(crate) async fn claim(
        self: &Rc<Self>,
        coordinator: TurnCoordinator,
        claim: TurnClaim,
        limit: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let peer = match coordinator {
            TurnCoordinator::Here => {
                return self.claim_here(&claim, limit, ClaimSource::Own).await;
            }
            TurnCoordinator::Nobody => {
                return self.claim_here(&claim, limit, ClaimSource::StandIn).await;
            }
            TurnCoordinator::Peer(peer) => peer,
        };
        if self.coordinators.borrow().failed.contains(&peer) {
            return self.claim_here(&claim, limit, ClaimSource::StandIn).await;
        }
        // It goes on if the caller leaves meanwhile; what it was granted is then given back.
        let keeper = self.clone();
        let asked = actix_rt::spawn(async move { keeper.claim_by(&peer, &claim, limit).await });
        asked.await.unwrap_or(Err(ClaimError::Doubtful(StoreError::ReplyLost)))
    }

    async fn claim_by(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        limit: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let knows_chain = claim.scope == TurnScope::Tokens
            || claim.previous.as_ref().is_none_or(|turn| self.has_chain(turn));
        let request = ClaimRequest { claim: claim.clone(), knows_chain, limit_ms: left_ms(limit) };
        let source = match self.ask(peer, CLAIM_PATH, frame(&request, &[]), Duration::ZERO).await {
            Ok((StatusCode::OK, body)) => match self.take_claim(peer, claim, &body).await {
                Some(result) => return result,
                None => ClaimSource::TakenOver,
            },
            Ok(_) | Err(PeerFailure::Unknown) => ClaimSource::TakenOver,
            Err(PeerFailure::NotSent) => ClaimSource::StandIn,
        };
        log::debug!("event=claim_taken_over turn={} peer={peer}", claim.turn);
        self.claim_here(claim, limit, source).await
    }

    /// Reads a coordinator's reply; none if it makes no sense.
    async fn take_claim(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        body: &Bytes,
    ) -> Option<Result<ClaimedTurn, ClaimError>> {
        let (reply, records) = unframe::<ClaimReply>(body).ok()?;
        let (chain, holder) = match reply {
            ClaimReply::Granted { chain, holder } => (chain, holder),
            ClaimReply::NoSuchTurn => return Some(Err(ClaimError::NoSuchTurn)),
            ClaimReply::NotAdmitted => return Some(Err(ClaimError::NotAdmitted)),
            ClaimReply::Exhausted { committed } => {
                return Some(Err(ClaimError::Exhausted { committed }));
            }
        };
        // Read whole before anything is held: a reply that makes no sense leaves the claim to be made
        // here, under the reservation that the coordinator may have made.
        let mut records_of = Vec::new();
        let mut start = 0;
        for turn in chain {
            let record = records.get(start..start + turn.bytes)?;
            start += turn.bytes;
            records_of.push((turn, TurnRecord::decode(records.slice_ref(record)).ok()?));
        }
        for (turn, record) in records_of {
            self.cache.borrow_mut().insert(&turn.program, turn.turn, record.into());
        }
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        reservation.coordinator = Some(peer.into());
        reservation.scope = claim.scope;
        let previous = claim.previous.as_ref().filter(|_| claim.scope == TurnScope::History);
        let chain = match previous {
            Some(previous) => self.chain(&claim.program, previous).await,
            None => Ok(TurnChain::default()),
        };
        Some(match chain {
            Ok(chain) => Ok(ClaimedTurn { chain, holder, reservation }),
            Err(ChainError::NoSuchTurn) => Err(ClaimError::NoSuchTurn),
            Err(ChainError::Store(error)) => Err(ClaimError::Doubtful(error)),
        })
    }

    /// Asks a coordinator, which may take `extra` longer than its usual answer.
    async fn ask(
        &self,
        peer: &str,
        path: &'static str,
        body: Bytes,
        extra: Duration,
    ) -> Result<(StatusCode, Bytes), PeerFailure> {
        let begun = Instant::now();
        let usual = self.coordinators.borrow().latency;
        let patience = extra + usual.scaled(PATIENCE_FACTOR, PATIENCE_MIN, PATIENCE_MAX);
        let answer = self.pool.exchange(peer, Method::POST, path, body, patience).await;
        let mut coordinators = self.coordinators.borrow_mut();
        match answer {
            Ok(answer) => {
                if extra.is_zero() {
                    coordinators.latency.record_since(begun);
                }
                Ok(answer)
            }
            Err(error) => {
                coordinators.failed.record(peer);
                log::info!(
                    "event=coordinator_passed_over peer={peer} path={path} error=\"{error}\""
                );
                match error {
                    ExchangeError::NotSent(_) => Err(PeerFailure::NotSent),
                    ExchangeError::Lost(_) | ExchangeError::TimedOut => Err(PeerFailure::Unknown),
                }
            }
        }
    }

    /// Has a coordinator keep a turn; false if that is to be done here.
    pub(super) async fn keep_by(
        &self,
        peer: &str,
        program: &ProgramName,
        turn: &TurnId,
        record: &TurnRecord,
        limit: Instant,
    ) -> bool {
        if self.coordinators.borrow().failed.contains(peer) {
            return false;
        }
        let request =
            KeepRequest { program: program.clone(), turn: turn.clone(), limit_ms: left_ms(limit) };
        let body = frame(&request, &[&record.encode()]);
        let answer = self.ask(peer, KEEP_PATH, body, SETTLE_PATIENCE).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    /// Has a coordinator settle a turn that leaves no record; false if that is to be done here.
    pub(super) async fn settle_by(&self, peer: &str, end: &TurnEnd) -> bool {
        let answer = self.ask(peer, SETTLE_PATH, frame(end, &[]), SETTLE_PATIENCE).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }
}
