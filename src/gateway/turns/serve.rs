//! Serves peers as the coordinator of their programs: claims, stores and settles turns.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::Instant;

use super::claim::{ClaimError, ClaimSource, ClaimedTurn};
use super::messages::{
    ChainTurn, ClaimReply, ClaimRequest, PersistRequest, TurnEnd, resolve_names,
};
use super::settle::SHARED_SETTLE_DELAY;
use super::{CLAIM_PATH, SETTLE_PATH, TurnChain, TurnManager};
use crate::core::turns::{PrefixHolder, TurnRecord};
use crate::core::workspaces::resolved_name;
use crate::util::framed::{frame, unframe};
use crate::util::http_server::BodyHold;

/// Peers read a larger chain from the store, as replies to them are limited.
const MAX_REPLY_BYTES: usize = 2 * 1024 * 1024;

fn granted_reply(
    chain: Option<&TurnChain>,
    holder: Option<PrefixHolder>,
    had_ledger: Option<bool>,
) -> Bytes {
    let (mut turns, mut encoded) = (Vec::new(), Vec::new());
    for (turn, program, record) in chain.into_iter().flat_map(TurnChain::entries) {
        let bytes = record.encode();
        turns.push(ChainTurn { turn: turn.clone(), program: program.clone(), bytes: bytes.len() });
        encoded.push(bytes);
    }
    let parts: Vec<&[u8]> = encoded.iter().map(|record| &record[..]).collect();
    frame(&ClaimReply::Granted { chain: turns, holder, had_ledger }, &parts)
}

impl TurnManager {
    /// Returns `None` if the peer must claim the turn itself.
    ///
    /// The reservation belongs to the peer from here on. It is kept even if the peer disconnects: the
    /// peer may have taken the claim over and be running the turn under this reservation.
    async fn claim_for_peer(self: &Rc<Self>, mut request: ClaimRequest) -> Option<Bytes> {
        let claim = &mut request.claim;
        resolve_names(&mut claim.program, &mut claim.turn);
        if let Some(previous) = &mut claim.previous {
            *previous = resolved_name(previous, &claim.turn);
        }
        let claim = &request.claim;
        if self.is_expired(claim) {
            log::info!("event=claim_expired turn={} program={}", claim.turn, claim.program);
            return None;
        }
        let deadline = Instant::now() + Duration::from_millis(request.limit_ms);
        let reply = match self.claim_locally(request.claim, deadline, ClaimSource::Peer).await {
            Ok(claimed) => {
                let ClaimedTurn { chain, holder, reservation, had_ledger } = claimed;
                reservation.transfer();
                let is_sent = !request.knows_chain && chain.bytes() <= MAX_REPLY_BYTES;
                let chain = is_sent.then_some(&chain);
                return Some(granted_reply(chain, holder, had_ledger));
            }
            Err(ClaimError::NoSuchTurn) => ClaimReply::NoSuchTurn,
            Err(ClaimError::NotAdmitted) => ClaimReply::NotAdmitted,
            Err(ClaimError::Exhausted { committed, permanent }) => {
                ClaimReply::Exhausted { committed, permanent }
            }
            Err(
                ClaimError::MemoryExhausted | ClaimError::Store(_) | ClaimError::Indeterminate(_),
            ) => return None,
        };
        Some(frame(&reply, &[]))
    }

    /// Returns the status and body of the reply. The work continues if the peer disconnects.
    pub(crate) async fn serve_peer(
        self: &Rc<Self>,
        path: &str,
        body: Bytes,
        hold: BodyHold,
    ) -> (StatusCode, Bytes) {
        let (manager, path) = (self.clone(), Box::<str>::from(path));
        let work = actix_rt::spawn(async move {
            let _hold = hold;
            manager.handle_peer_request(&path, &body).await
        });
        let failed = (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        work.await.unwrap_or(failed)
    }

    async fn handle_peer_request(self: &Rc<Self>, path: &str, body: &Bytes) -> (StatusCode, Bytes) {
        let malformed = (StatusCode::BAD_REQUEST, Bytes::new());
        let unavailable = (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        if path == CLAIM_PATH {
            let Ok((request, _)) = unframe::<ClaimRequest>(body) else { return malformed };
            return match self.claim_for_peer(request).await {
                Some(reply) => (StatusCode::OK, reply),
                None => unavailable,
            };
        }
        if path == SETTLE_PATH {
            let Ok((mut request, _)) = unframe::<TurnEnd>(body) else { return malformed };
            resolve_names(&mut request.program, &mut request.turn);
            return match self.end_turn(&request, None, SHARED_SETTLE_DELAY).await {
                true => (StatusCode::OK, Bytes::new()),
                false => unavailable,
            };
        }
        let Ok((mut request, record)) = unframe::<PersistRequest>(body) else { return malformed };
        let Ok(mut record) = TurnRecord::decode(record) else { return malformed };
        resolve_names(&mut request.program, &mut request.turn);
        record.resolve_previous(&request.turn);
        let deadline = Instant::now() + Duration::from_millis(request.limit_ms);
        match self.store_record(&request.program, &request.turn, record, deadline).await {
            true => (StatusCode::OK, Bytes::new()),
            false => unavailable,
        }
    }
}
