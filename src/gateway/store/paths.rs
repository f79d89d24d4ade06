//! Sends a store call over its paths: directly, over a new connection, or through a peer.

use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use super::relay::{RELAY_PATH, RelayRequest, decode_reply};
use super::{StoreAnswer, StoreLink};
use crate::gateway::http::ExchangeError;
use crate::gateway::rows::StoreCall;
use crate::node::platform::StoreError;

/// Growth of the delay from one path to the next, so that a store that has become slow does not get
/// each call over all paths.
const HEDGE_BACKOFF: u32 = 3;
/// If half of the peers are cut off as well, one of three still reaches the store in 7 of 8 cases.
const MAX_RELAY_ATTEMPTS: usize = 3;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StorePath {
    Direct {
        /// Opens a new connection, as pooled ones may have gone silent.
        fresh: bool,
    },
    Peer(Box<str>),
}

impl StorePath {
    fn is_direct(&self) -> bool {
        matches!(self, Self::Direct { .. })
    }
}

impl StoreLink {
    /// Sends a call over one path, and over the next one after a delay or a failure; the first
    /// answer counts.
    ///
    /// If a peer answers while the direct path is silent, the direct path counts as failed at once.
    /// Otherwise each call of an instance that is cut off would wait for the hedge delay, 400 to
    /// 520 ms.
    pub(super) async fn call_hedged(&self, call: &StoreCall) -> StoreAnswer {
        let health = *self.health.borrow();
        let begun = Instant::now();
        let deadline = begun + call.hold + health.timeout();
        let mut paths = self.paths().into_iter();
        let mut running = FuturesUnordered::new();
        let mut direct_running: usize = 0;
        let mut next_at = begun;
        let mut delay = health.hedge_delay();
        let mut result = Err(StoreError::Unavailable);
        loop {
            if Instant::now() >= next_at || running.is_empty() {
                match paths.next() {
                    Some(path) => {
                        let direct = path.is_direct();
                        direct_running += usize::from(direct);
                        running
                            .push(async move { (direct, self.send(path, call, deadline).await) });
                    }
                    None if running.is_empty() => return result,
                    None => {}
                }
                next_at = Instant::now() + call.hold + delay;
                delay *= HEDGE_BACKOFF;
            }
            let wake = if paths.len() == 0 { deadline } else { next_at.min(deadline) };
            let (direct, answer) = tokio::select! {
                Some(answered) = running.next() => answered,
                () = sleep_until(wake) => match Instant::now() >= deadline {
                    true => return Err(StoreError::ReplyLost),
                    false => continue,
                },
            };
            direct_running -= usize::from(direct);
            match answer {
                Ok(answer) => {
                    if !direct && direct_running > 0 {
                        self.health
                            .borrow_mut()
                            .record_direct_failure(begun, &StoreError::ReplyLost);
                    }
                    return Ok(answer);
                }
                // The other paths end at the same overloaded partition and would multiply its load:
                // sending refused calls over them turned 74,000 calls into 221,000, with 62
                // instances and 840 turns/s. Calls in flight may still take effect.
                Err(StoreError::Unavailable) if direct && self.is_over_rate() => {
                    paths = Vec::new().into_iter();
                }
                // An error after which the call may have taken effect takes precedence.
                Err(StoreError::Unavailable) => {}
                Err(error) => result = Err(error),
            }
        }
    }

    fn paths(&self) -> Vec<StorePath> {
        let peers = self.peers.borrow().as_ref().map(|peers| peers.relay_addresses());
        let peers = self.relays.borrow().order(peers.unwrap_or_default());
        let peers = peers.into_iter().take(MAX_RELAY_ATTEMPTS).map(StorePath::Peer);
        if self.health.borrow().is_direct_unavailable() {
            return peers.chain([StorePath::Direct { fresh: true }]).collect();
        }
        let direct = [StorePath::Direct { fresh: false }, StorePath::Direct { fresh: true }];
        direct.into_iter().chain(peers).collect()
    }

    pub(super) async fn send(
        &self,
        path: StorePath,
        call: &StoreCall,
        deadline: Instant,
    ) -> StoreAnswer {
        let begun = Instant::now();
        let timeout = deadline.saturating_duration_since(begun);
        let answer = match &path {
            StorePath::Direct { fresh } => self.send_direct(call, *fresh, timeout).await,
            StorePath::Peer(peer) => self.send_by_peer(peer, call, timeout).await,
        };
        match &answer {
            Ok(_) if path.is_direct() => {
                self.health.borrow_mut().record_direct_answer(begun, !call.hold.is_zero());
            }
            Ok(_) => self.health.borrow_mut().record_answer(),
            // `send_direct` records failures, as it knows their cause.
            Err(_) => {}
        }
        if let StorePath::Peer(peer) = &path {
            self.relays.borrow_mut().record(peer, answer.is_ok());
        }
        answer
    }

    async fn send_direct(&self, call: &StoreCall, fresh: bool, timeout: Duration) -> StoreAnswer {
        if fresh {
            self.pool.close_idle(&self.address);
        }
        let body = call.body.clone();
        let method = call.method.clone();
        let begun = Instant::now();
        let answer = self.pool.exchange(&self.address, method, &call.target, body, timeout).await;
        self.meter.record_call(call.kind, call_outcome(&answer), begun.elapsed());
        let received = answer.as_ref().map_or(0, |(_, body)| body.len());
        self.meter.record_bytes(call.kind, call.body.len(), received);
        let error = match answer {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.health.borrow_mut().record_rate_refusal(begun);
                return Err(StoreError::Unavailable);
            }
            // Refused without effect; the store may still serve another instance.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => StoreError::Unavailable,
            Ok((status, body)) => return Ok((status.as_u16(), body)),
            Err(ExchangeError::NotSent(_)) => StoreError::Unavailable,
            Err(error) => {
                log::debug!("event=store_call_failed target={} error=\"{error}\"", call.target);
                StoreError::ReplyLost
            }
        };
        self.health.borrow_mut().record_direct_failure(begun, &error);
        Err(error)
    }

    async fn send_by_peer(&self, peer: &str, call: &StoreCall, timeout: Duration) -> StoreAnswer {
        let body = RelayRequest::new(call).encode();
        let sent = self.pool.exchange(peer, Method::POST, RELAY_PATH, body, timeout).await;
        match sent {
            Ok((status, answer)) if status.is_success() => decode_reply(&answer),
            // The peer cannot reach the store either and has sent nothing.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(StoreError::Unavailable),
            Err(ExchangeError::NotSent(_)) => Err(StoreError::Unavailable),
            Ok(_) | Err(_) => Err(StoreError::ReplyLost),
        }
    }
}

/// Value of the `outcome` label in the metrics.
fn call_outcome(answer: &Result<(StatusCode, Bytes), ExchangeError>) -> &'static str {
    match answer {
        Ok((StatusCode::PRECONDITION_FAILED, _)) => "conflict",
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => "over_rate",
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => "turned_away",
        Ok((status, _)) if status.is_success() => "answered",
        Ok(_) => "rejected",
        Err(ExchangeError::NotSent(_)) => "not_sent",
        Err(_) => "lost",
    }
}
