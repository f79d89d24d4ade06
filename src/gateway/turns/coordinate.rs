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
use super::messages::{ClaimReply, ClaimRequest, PersistRequest, TurnEnd};
use super::{ChainError, SETTLE_COMMIT_DELAY, TurnChain, TurnManager};
use crate::core::turns::{ProgramName, TurnId, TurnRecord, TurnScope};
use crate::gateway::http::ExchangeError;
use crate::gateway::latency::{FailedPeers, LatencyEstimate};
use crate::node::platform::StoreError;
use crate::util::framed::{frame, unframe};

/// Paths on the address for peers.
pub(crate) const CLAIM_PATH: &str = "/claim";
pub(crate) const PERSIST_PATH: &str = "/keep";
pub(crate) const SETTLE_PATH: &str = "/settle";

/// Shortest and longest wait for a coordinator before its work is done here, and its multiple of the
/// usual answer time: as for calls of the store, which such an answer includes.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(120);
const MAX_PEER_TIMEOUT: Duration = Duration::from_millis(700);
const PEER_TIMEOUT_FACTOR: f64 = 4.0;
/// Share of the newest answer time in the usual one: about the last eight count.
const LATENCY_WEIGHT: f64 = 0.125;
/// How long a coordinator that did not answer is passed over: members find out within a second or so
/// whether it is gone, and each claim that still tries waits in vain.
const COORDINATOR_EJECTION: Duration = Duration::from_millis(800);

/// Who coordinates a program, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TurnCoordinator {
    Local,
    /// The instance at this address for peers.
    Peer(Box<str>),
    /// Each instance claims its own turns.
    Unassigned,
}

/// What is known of coordinators as peers.
#[derive(Debug)]
pub(super) struct CoordinatorHealth {
    latency: LatencyEstimate,
    failed: FailedPeers,
}

impl Default for CoordinatorHealth {
    fn default() -> Self {
        let failed = FailedPeers::new(COORDINATOR_EJECTION);
        Self { latency: LatencyEstimate::new(LATENCY_WEIGHT), failed }
    }
}

/// Why a coordinator's answer is missing.
enum PeerFailure {
    /// It has not heard of the work.
    NotSent,
    /// It may be doing it.
    Unknown,
}

fn remaining_ms(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

impl TurnManager {
    /// Claims a turn at its coordinator; here if there is no other or it does not answer.
    pub(crate) async fn claim(
        self: &Rc<Self>,
        coordinator: TurnCoordinator,
        claim: TurnClaim,
        deadline: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let peer = match coordinator {
            TurnCoordinator::Local => {
                return self.claim_here(&claim, deadline, ClaimSource::Coordinator).await;
            }
            TurnCoordinator::Unassigned => {
                return self.claim_here(&claim, deadline, ClaimSource::Proxy).await;
            }
            TurnCoordinator::Peer(peer) => peer,
        };
        if self.coordinators.borrow().failed.contains(&peer) {
            return self.claim_here(&claim, deadline, ClaimSource::Proxy).await;
        }
        // It goes on if the caller leaves meanwhile; what it was granted is then given back.
        let manager = self.clone();
        let claimed =
            actix_rt::spawn(async move { manager.claim_via_peer(&peer, &claim, deadline).await });
        claimed.await.unwrap_or(Err(ClaimError::Indeterminate(StoreError::ReplyLost)))
    }

    async fn claim_via_peer(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        deadline: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let knows_chain = claim.scope == TurnScope::Tokens
            || claim.previous.as_ref().is_none_or(|turn| self.has_chain(turn));
        let request =
            ClaimRequest { claim: claim.clone(), knows_chain, limit_ms: remaining_ms(deadline) };
        let source = match self
            .call_peer(peer, CLAIM_PATH, frame(&request, &[]), Duration::ZERO)
            .await
        {
            Ok((StatusCode::OK, body)) => match self.accept_claim_reply(peer, claim, &body).await {
                Some(result) => return result,
                None => ClaimSource::Takeover,
            },
            Ok(_) | Err(PeerFailure::Unknown) => ClaimSource::Takeover,
            Err(PeerFailure::NotSent) => ClaimSource::Proxy,
        };
        log::debug!("event=claim_taken_over turn={} peer={peer}", claim.turn);
        self.claim_here(claim, deadline, source).await
    }

    /// Reads a coordinator's reply; none if it makes no sense.
    async fn accept_claim_reply(
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
        let mut decoded = Vec::new();
        let mut start = 0;
        for turn in chain {
            let record = records.get(start..start + turn.bytes)?;
            start += turn.bytes;
            decoded.push((turn, TurnRecord::decode(records.slice_ref(record)).ok()?));
        }
        for (turn, record) in decoded {
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
            Err(ChainError::Store(error)) => Err(ClaimError::Indeterminate(error)),
        })
    }

    /// Asks a coordinator, which may take `extra` longer than its usual answer.
    async fn call_peer(
        &self,
        peer: &str,
        path: &'static str,
        body: Bytes,
        extra_time: Duration,
    ) -> Result<(StatusCode, Bytes), PeerFailure> {
        let start = Instant::now();
        let latency = self.coordinators.borrow().latency;
        let timeout =
            extra_time + latency.scaled(PEER_TIMEOUT_FACTOR, MIN_PEER_TIMEOUT, MAX_PEER_TIMEOUT);
        let response = self.pool.exchange(peer, Method::POST, path, body, timeout).await;
        let mut coordinators = self.coordinators.borrow_mut();
        match response {
            Ok(response) => {
                if extra_time.is_zero() {
                    coordinators.latency.answered(start);
                }
                Ok(response)
            }
            Err(error) => {
                coordinators.failed.note(peer);
                log::info!(
                    "event=coordinator_passed_over peer={peer} path={path} error=\"{error}\""
                );
                match error {
                    ExchangeError::NotSent(_) => Err(PeerFailure::NotSent),
                    ExchangeError::Lost(_) | ExchangeError::Late => Err(PeerFailure::Unknown),
                }
            }
        }
    }

    /// Has a coordinator keep a turn; false if that is to be done here.
    pub(super) async fn persist_via_peer(
        &self,
        peer: &str,
        program: &ProgramName,
        turn: &TurnId,
        record: &TurnRecord,
        deadline: Instant,
    ) -> bool {
        if self.coordinators.borrow().failed.contains(peer) {
            return false;
        }
        let request = PersistRequest {
            program: program.clone(),
            turn: turn.clone(),
            limit_ms: remaining_ms(deadline),
        };
        let body = frame(&request, &[&record.encode()]);
        let response = self.call_peer(peer, PERSIST_PATH, body, SETTLE_COMMIT_DELAY).await;
        matches!(response, Ok((StatusCode::OK, _)))
    }

    /// Has a coordinator settle a turn that leaves no record; false if that is to be done here.
    pub(super) async fn settle_via_peer(&self, peer: &str, end: &TurnEnd) -> bool {
        let response =
            self.call_peer(peer, SETTLE_PATH, frame(end, &[]), SETTLE_COMMIT_DELAY).await;
        matches!(response, Ok((StatusCode::OK, _)))
    }
}
