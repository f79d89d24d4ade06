//! Turns that another instance claims, keeps and settles for this one.
//!
//! All turns of a program that meet at one instance find its chain and its ledger in memory, do not
//! conflict, and share transactions. The coordinator is a hint: whatever it does not answer is done
//! here, and since all writes have conditions and name the turn, doing it twice changes nothing.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::claim::{ClaimError, ClaimedTurn, TurnClaim};
use super::{TurnChain, TurnKeeper};
use crate::core::ids::Tokens;
use crate::core::turns::{ProgramName, TurnId, TurnRecord};
use crate::gateway::http::ExchangeError;
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

/// A claim on its way to a coordinator.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimRequest {
    claim: TurnClaim,
    /// Whether the sender has the chain.
    knows_chain: bool,
    limit_ms: u64,
}

/// One turn of a chain in a reply; the records follow the head one after another.
#[derive(Debug, Serialize, Deserialize)]
struct ChainTurn {
    turn: TurnId,
    program: ProgramName,
    bytes: usize,
}

/// What became of a claim.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClaimReply {
    Granted { chain: Vec<ChainTurn> },
    NoSuchTurn,
    Exhausted { committed: Tokens },
}

/// A finished turn on its way to a coordinator; its record follows.
#[derive(Debug, Serialize, Deserialize)]
struct KeepRequest {
    program: ProgramName,
    turn: TurnId,
    limit_ms: u64,
}

/// What a turn that broke off has used.
#[derive(Debug, Serialize, Deserialize)]
struct SettleRequest {
    program: ProgramName,
    turn: TurnId,
    used: Tokens,
}

/// What is known of coordinators as peers.
#[derive(Debug, Default)]
pub(super) struct CoordinatorHealth {
    /// The usual time to an answer, in seconds.
    latency: f64,
    failed: BTreeMap<Box<str>, Instant>,
}

impl CoordinatorHealth {
    fn patience(&self) -> Duration {
        Duration::from_secs_f64(self.latency * PATIENCE_FACTOR).clamp(PATIENCE_MIN, PATIENCE_MAX)
    }

    fn is_passed_over(&mut self, peer: &str) -> bool {
        self.failed.retain(|_, at| at.elapsed() < PASSED_OVER);
        self.failed.contains_key(peer)
    }

    fn answered(&mut self, begun: Instant) {
        self.latency += LATENCY_SHARE * (begun.elapsed().as_secs_f64() - self.latency);
    }

    fn failed(&mut self, peer: &str) {
        self.failed.insert(peer.into(), Instant::now());
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
    /// Claims a turn at its coordinator; here if there is none or it does not answer.
    pub(crate) async fn claim(
        self: &Rc<Self>,
        peer: Option<Box<str>>,
        claim: TurnClaim,
        limit: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let peer = peer.filter(|peer| !self.coordinators.borrow_mut().is_passed_over(peer));
        let Some(peer) = peer else { return self.claim_here(&claim, limit, false).await };
        // It goes on if the caller leaves meanwhile; what it was granted is then given back.
        let keeper = self.clone();
        let asked = actix_rt::spawn(async move { keeper.claim_by(&peer, &claim, limit).await });
        asked
            .await
            .unwrap_or(Err(ClaimError::Store(crate::node::platform::StoreError::Unavailable)))
    }

    async fn claim_by(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        limit: Instant,
    ) -> Result<ClaimedTurn, ClaimError> {
        let knows_chain = claim.previous.as_ref().is_none_or(|turn| self.has_chain(turn));
        let request = ClaimRequest { claim: claim.clone(), knows_chain, limit_ms: left_ms(limit) };
        let doubtful = match self.ask(peer, CLAIM_PATH, frame(&request, &[]), Duration::ZERO).await
        {
            Ok((StatusCode::OK, body)) => match self.take_claim(peer, claim, &body).await {
                Some(result) => return result,
                None => true,
            },
            Ok(_) | Err(PeerFailure::Unknown) => true,
            Err(PeerFailure::NotSent) => false,
        };
        log::debug!("event=claim_taken_over turn={} peer={peer}", claim.turn);
        self.claim_here(claim, limit, doubtful).await
    }

    /// Reads a coordinator's reply; none if it makes no sense.
    async fn take_claim(
        self: &Rc<Self>,
        peer: &str,
        claim: &TurnClaim,
        body: &Bytes,
    ) -> Option<Result<ClaimedTurn, ClaimError>> {
        let (reply, records) = unframe::<ClaimReply>(body).ok()?;
        let chain = match reply {
            ClaimReply::Granted { chain } => chain,
            ClaimReply::NoSuchTurn => return Some(Err(ClaimError::NoSuchTurn)),
            ClaimReply::Exhausted { committed } => {
                return Some(Err(ClaimError::Exhausted { committed }));
            }
        };
        let mut reservation = self.reservation(&claim.program, &claim.turn);
        reservation.coordinator = Some(peer.into());
        let mut start = 0;
        for turn in chain {
            let record = records.get(start..start + turn.bytes)?;
            start += turn.bytes;
            let record = TurnRecord::decode(records.slice_ref(record)).ok()?;
            self.cache.borrow_mut().insert(&turn.program, turn.turn, record.into());
        }
        let chain = match &claim.previous {
            Some(previous) => self.chain(&claim.program, previous).await,
            None => Ok(TurnChain::default()),
        };
        Some(match chain {
            Ok(chain) => Ok(ClaimedTurn { chain, reservation }),
            Err(error) => Err(error.into()),
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
        let patience = self.coordinators.borrow().patience() + extra;
        let answer = self.pool.exchange(peer, Method::POST, path, body, patience).await;
        let mut coordinators = self.coordinators.borrow_mut();
        match answer {
            Ok(answer) => {
                if extra.is_zero() {
                    coordinators.answered(begun);
                }
                Ok(answer)
            }
            Err(error) => {
                coordinators.failed(peer);
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
    pub(super) async fn keep_by(
        &self,
        peer: &str,
        program: &ProgramName,
        turn: &TurnId,
        record: &TurnRecord,
        limit: Instant,
    ) -> bool {
        if self.coordinators.borrow_mut().is_passed_over(peer) {
            return false;
        }
        let request =
            KeepRequest { program: program.clone(), turn: turn.clone(), limit_ms: left_ms(limit) };
        let body = frame(&request, &[&record.encode()]);
        let answer = self.ask(peer, KEEP_PATH, body, super::SETTLE_PATIENCE).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    /// Has a coordinator settle a turn that broke off; false if that is to be done here.
    pub(super) async fn settle_by(
        &self,
        peer: &str,
        program: &ProgramName,
        turn: &TurnId,
        used: Tokens,
    ) -> bool {
        let request = SettleRequest { program: program.clone(), turn: turn.clone(), used };
        let answer =
            self.ask(peer, SETTLE_PATH, frame(&request, &[]), super::SETTLE_PATIENCE).await;
        matches!(answer, Ok((StatusCode::OK, _)))
    }

    /// Claims a turn for a peer; none if the peer must do it itself.
    ///
    /// The reservation is the peer's from here on. It is not taken back when the peer has gone: the
    /// peer may have claimed the turn another way and be running it under this reservation.
    async fn claim_for(self: &Rc<Self>, request: &ClaimRequest) -> Option<Bytes> {
        let claim = &request.claim;
        let limit = Instant::now() + Duration::from_millis(request.limit_ms);
        let reply = match self.claim_here(claim, limit, false).await {
            Ok(claimed) => {
                claimed.reservation.hand_over();
                let known = if request.knows_chain { &[][..] } else { &claimed.chain.turns[..] };
                return Some(self.granted(claim, known));
            }
            Err(ClaimError::NoSuchTurn) => ClaimReply::NoSuchTurn,
            Err(ClaimError::Exhausted { committed }) => ClaimReply::Exhausted { committed },
            Err(ClaimError::Store(_)) => return None,
        };
        Some(frame(&reply, &[]))
    }

    /// The reply with a chain, whose last turn is the claim's previous one.
    fn granted(&self, claim: &TurnClaim, records: &[Rc<TurnRecord>]) -> Bytes {
        let cache = self.cache.borrow();
        let encoded: Vec<Bytes> = records.iter().map(|record| record.encode()).collect();
        let mut chain = Vec::new();
        let mut next = claim.previous.clone();
        for (record, bytes) in records.iter().zip(&encoded).rev() {
            let Some(turn) = next else { break };
            let program = cache.program_of(&turn).unwrap_or_else(|| claim.program.clone());
            next = record.previous.clone();
            chain.push(ChainTurn { turn, program, bytes: bytes.len() });
        }
        chain.reverse();
        let parts: Vec<&[u8]> = encoded.iter().map(|record| &record[..]).collect();
        frame(&ClaimReply::Granted { chain }, &parts)
    }

    /// Does a peer's work: the reply's status and body. It goes on if the peer leaves meanwhile.
    pub(crate) async fn serve_peer(
        self: &Rc<Self>,
        path: &str,
        body: Bytes,
    ) -> (StatusCode, Bytes) {
        let (keeper, path) = (self.clone(), Box::<str>::from(path));
        let work = actix_rt::spawn(async move { keeper.work_for_peer(&path, &body).await });
        let failed = (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        work.await.unwrap_or(failed)
    }

    async fn work_for_peer(self: &Rc<Self>, path: &str, body: &Bytes) -> (StatusCode, Bytes) {
        let malformed = (StatusCode::BAD_REQUEST, Bytes::new());
        let unable = (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        if path == CLAIM_PATH {
            let Ok((request, _)) = unframe::<ClaimRequest>(body) else { return malformed };
            return match self.claim_for(&request).await {
                Some(reply) => (StatusCode::OK, reply),
                None => unable,
            };
        }
        if path == SETTLE_PATH {
            let Ok((request, _)) = unframe::<SettleRequest>(body) else { return malformed };
            let limit = Instant::now() + super::BACKGROUND_LIMIT;
            self.settle(&request.program, &request.turn, request.used, limit).await;
            return (StatusCode::OK, Bytes::new());
        }
        let Ok((request, record)) = unframe::<KeepRequest>(body) else { return malformed };
        let Ok(record) = TurnRecord::decode(record) else { return malformed };
        let limit = Instant::now() + Duration::from_millis(request.limit_ms);
        match self.record(&request.program, &request.turn, record, limit).await {
            true => (StatusCode::OK, Bytes::new()),
            false => unable,
        }
    }
}
