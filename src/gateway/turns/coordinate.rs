//! Claims, persists and settles turns through the instance that coordinates their program, which has
//! chain and ledger in memory and batches writes. If it fails, this instance does the work itself: all
//! writes are conditional and name the turn, so they are idempotent.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use tokio::time::{Instant, sleep};

use super::claim::{ClaimError, ClaimSource, ClaimedTurn, SETTLEMENT_WAIT, TurnClaim};
use super::messages::{ClaimReply, ClaimRequest, PersistRequest, TurnEnd};
use super::{ChainError, SETTLE_COMMIT_DELAY, TurnChain, TurnManager};
use crate::core::turns::{ChainEntry, ProgramName, TurnId, TurnRecord, TurnScope};
use crate::gateway::http::ExchangeError;
use crate::gateway::latency::{FailedPeers, LatencyEstimate};
use crate::node::platform::StoreError;
use crate::util::framed::{frame, unframe};

pub(crate) const CLAIM_PATH: &str = "/claim";
pub(crate) const PERSIST_PATH: &str = "/keep";
pub(crate) const SETTLE_PATH: &str = "/settle";

/// Bounds of the timeout of calls to a coordinator, which is a multiple of the mean latency. The
/// latency includes that of the coordinator's calls to the store.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(120);
const MAX_PEER_TIMEOUT: Duration = Duration::from_millis(700);
const PEER_TIMEOUT_FACTOR: f64 = 4.0;
/// Time for a settlement beyond that of a call. No caller waits for it, and a slow store must not make
/// the coordinator seem to have failed.
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(300);
/// The mean covers about the last eight calls.
const LATENCY_WEIGHT: f64 = 0.125;
/// Bridges the time until membership detects that the coordinator has failed, about a second, in
/// which each claim that still tries it waits in vain.
const COORDINATOR_EJECTION: Duration = Duration::from_millis(800);

/// The coordinator of a program according to this instance's view of the members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TurnCoordinator {
    Local,
    /// Peer address of the coordinating instance.
    Peer(Box<str>),
    /// Coordination is disabled: each instance claims its own turns.
    Unassigned,
}

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

enum PeerFailure {
    NotSent,
    /// The request may have been carried out.
    Unknown,
}

fn remaining_ms(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// Whether a coordinator sent the complete chain that ends with `turn`. It omits a large one.
fn ends_with(entries: &[ChainEntry], turn: &TurnId) -> bool {
    let mut next = Some(turn);
    for entry in entries.iter().rev() {
        if next != Some(&entry.turn) {
            return false;
        }
        next = entry.record.previous.as_ref();
    }
    next.is_none()
}

/// Whether a reply refuses the turn for tokens that other turns hold, which may have just ended.
fn may_settle(reply: &Bytes) -> bool {
    let reply = unframe::<ClaimReply>(reply);
    matches!(reply, Ok((ClaimReply::Exhausted { permanent: false, .. }, _)))
}

impl TurnManager {
    /// Claims a turn at its coordinator, or locally if the coordinator does not respond.
    pub(crate) async fn claim(
        self: &Rc<Self>,
        coordinator: TurnCoordinator,
        mut claim: TurnClaim,
        deadline: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        // With a history, what turns used is durable before their answers end, and the ledger known to the
        // coordinator often lacks it.
        claim.asks_again =
            claim.scope == TurnScope::Tokens && Instant::now() + SETTLEMENT_WAIT < deadline;
        claim.expires_ms = self.store.clock_millis().map(|now| now + remaining_ms(deadline));
        let peer = match coordinator {
            TurnCoordinator::Local => {
                return self.claim_locally(claim, deadline, ClaimSource::Coordinator).await;
            }
            TurnCoordinator::Unassigned => {
                return self.claim_locally(claim, deadline, ClaimSource::Proxy).await;
            }
            TurnCoordinator::Peer(peer) => peer,
        };
        if self.coordinators.borrow().failed.contains(&peer) {
            return self.claim_locally(claim, deadline, ClaimSource::Proxy).await;
        }
        // Continues if the caller is dropped; the granted reservation is then released.
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
        let previous = claim.previous.as_ref().filter(|_| claim.scope == TurnScope::History);
        // Kept during the call, in which the cache may evict it.
        let known = match previous {
            Some(previous) => self.cached_chain(&claim.program, previous),
            None => Some(TurnChain::default()),
        };
        let knows_chain = known.is_some();
        // The coordinator's retention is counted from a later time.
        let retained_until = Instant::now() + claim.retention;
        let mut request =
            ClaimRequest { claim: claim.clone(), knows_chain, limit_ms: remaining_ms(deadline) };
        let source = match self.send_claim(peer, &mut request, deadline).await {
            Ok((StatusCode::OK, body)) => {
                match self
                    .accept_claim_reply(peer, claim, known, &body, deadline, retained_until)
                    .await
                {
                    Some(result) => return result,
                    None => ClaimSource::Takeover,
                }
            }
            Ok(_) | Err(PeerFailure::Unknown) => ClaimSource::Takeover,
            Err(PeerFailure::NotSent) => ClaimSource::Proxy,
        };
        log::debug!("event=claim_taken_over turn={} peer={peer}", claim.turn);
        self.claim_locally(request.claim, deadline, source).await
    }

    /// Sends a claim to a coordinator, and once more if turns that have just ended may hold the tokens.
    async fn send_claim(
        &self,
        peer: &str,
        request: &mut ClaimRequest,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), PeerFailure> {
        let reply = self.call_peer(peer, CLAIM_PATH, frame(&request, &[]), Duration::ZERO).await?;
        let has_time = Instant::now() + SETTLEMENT_WAIT < deadline;
        if !has_time || reply.0 != StatusCode::OK || !may_settle(&reply.1) {
            return Ok(reply);
        }
        sleep(SETTLEMENT_WAIT).await;
        request.claim.asks_again = false;
        self.call_peer(peer, CLAIM_PATH, frame(&request, &[]), Duration::ZERO).await
    }

    /// `known` is the chain, unless the reply holds it. Returns `None` if the reply is malformed.
    async fn accept_claim_reply(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        known: Option<TurnChain>,
        body: &Bytes,
        deadline: Instant,
        retained_until: Instant,
    ) -> Option<Result<ClaimedTurn, ClaimError>> {
        let (reply, records) = unframe::<ClaimReply>(body).ok()?;
        let (chain, holder, had_ledger) = match reply {
            ClaimReply::Granted { chain, holder, had_ledger } => (chain, holder, had_ledger),
            ClaimReply::NoSuchTurn => {
                log::info!("event=turn_not_found turn={} coordinator={peer}", claim.turn);
                return Some(Err(ClaimError::NoSuchTurn));
            }
            ClaimReply::NotAdmitted => return Some(Err(ClaimError::NotAdmitted)),
            ClaimReply::Exhausted { committed, permanent } => {
                return Some(Err(ClaimError::Exhausted { committed, permanent }));
            }
        };
        // Decode everything before creating the reservation: after a malformed reply the claim is
        // repeated locally and may find the coordinator's reservation.
        let mut decoded = Vec::new();
        let mut start = 0;
        for turn in chain {
            let record = records.get(start..start + turn.bytes)?;
            start += turn.bytes;
            decoded.push((turn, TurnRecord::decode(records.slice_ref(record)).ok()?));
        }
        let entries: Vec<ChainEntry> = decoded
            .into_iter()
            .map(|(turn, record)| self.cache_record(&turn.program, &turn.turn, record))
            .collect();
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        reservation.coordinator = Some(peer.into());
        reservation.scope = claim.scope;
        reservation.retained_until = Some(retained_until);
        let chain = match (known, &claim.previous) {
            (Some(chain), _) => Ok(chain),
            (None, Some(previous)) if !ends_with(&entries, previous) => {
                self.chain(claim, previous, deadline).await
            }
            (None, _) => Ok(TurnChain::new(&claim.program, entries, None)),
        };
        if let Ok(chain) = &chain {
            let mut cache = self.cache.borrow_mut();
            for program in chain.origins(&claim.program).iter().chain([&claim.program]) {
                cache.retain(program, retained_until);
            }
        }
        Some(match chain {
            Ok(chain) => Ok(ClaimedTurn { chain, holder, reservation, had_ledger }),
            Err(ChainError::NoSuchTurn) => Err(ClaimError::NoSuchTurn),
            Err(ChainError::MemoryExhausted) => Err(ClaimError::MemoryExhausted),
            Err(ChainError::Store(error)) => Err(ClaimError::Indeterminate(error)),
        })
    }

    /// Calls a coordinator. `extra_time` is added to the timeout for work that waits by design.
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
                    coordinators.latency.record_since(start);
                }
                Ok(response)
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

    /// Returns false if the caller has to persist the turn itself.
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

    /// Returns false if the caller has to settle the turn itself.
    pub(super) async fn settle_via_peer(&self, peer: &str, end: &TurnEnd) -> bool {
        if self.coordinators.borrow().failed.contains(peer) {
            return false;
        }
        let response = self.call_peer(peer, SETTLE_PATH, frame(end, &[]), MAX_SETTLE_DELAY).await;
        matches!(response, Ok((StatusCode::OK, _)))
    }
}
