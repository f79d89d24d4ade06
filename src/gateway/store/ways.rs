//! The ways of one call to the store: directly, over a fresh connection, or by a peer.

use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{Instant, sleep_until};

use super::relay::{RELAY_PATH, RelayRequest, read_relay};
use super::{StoreAnswer, StoreLink};
use crate::gateway::http::ExchangeError;
use crate::gateway::rows::StoreCall;
use crate::node::platform::StoreError;

/// Factor between the wait before a call takes its second way and that before the third: a store that
/// has turned slow must not get each call four times.
const HEDGE_BACKOFF: u32 = 3;
/// Peers asked for one call: those that serve callers reach the store as a rule, and with half of the
/// others cut off as well, three find the way in 7 of 8.
const RELAY_TRIES: usize = 3;
/// A way to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoreWay {
    Direct {
        /// Whether to open a connection: kept ones may have gone silent.
        fresh: bool,
    },
    Peer(Box<str>),
}

impl StoreWay {
    fn is_direct(&self) -> bool {
        matches!(self, Self::Direct { .. })
    }
}

impl StoreLink {
    /// Sends a call one way, after a while or a failure another way too; the first answer counts.
    ///
    /// Where a peer answers while the direct way is silent, that way counts as lost at once. Left to
    /// time out, each call of an instance behind a cut waited 400 to 520 ms for its peer (one turn in
    /// ten to fifty, for as long as the cut lasted).
    pub(super) async fn race(&self, call: &StoreCall) -> StoreAnswer {
        let health = *self.health.borrow();
        let begun = Instant::now();
        let limit = begun + call.hold + health.limit();
        let mut ways = self.ways().into_iter();
        let mut running = FuturesUnordered::new();
        let mut direct_running: usize = 0;
        let mut next_at = begun;
        let mut delay = health.hedge_delay();
        let mut result = Err(StoreError::Unavailable);
        loop {
            if Instant::now() >= next_at || running.is_empty() {
                match ways.next() {
                    Some(way) => {
                        let direct = way.is_direct();
                        direct_running += usize::from(direct);
                        running.push(async move { (direct, self.send(way, call, limit).await) });
                    }
                    None if running.is_empty() => return result,
                    None => {}
                }
                next_at = Instant::now() + call.hold + delay;
                delay *= HEDGE_BACKOFF;
            }
            let wake = if ways.len() == 0 { limit } else { next_at.min(limit) };
            let (direct, answer) = tokio::select! {
                Some(answered) = running.next() => answered,
                () = sleep_until(wake) => match Instant::now() >= limit {
                    true => return Err(StoreError::ReplyLost),
                    false => continue,
                },
            };
            direct_running -= usize::from(direct);
            match answer {
                Ok(answer) => {
                    if !direct && direct_running > 0 {
                        self.health.borrow_mut().direct_failed(begun, &StoreError::ReplyLost);
                    }
                    return Ok(answer);
                }
                // Every other way ends at the same rate: with each refused call sent up to four times
                // more, 74,000 calls became 221,000 (62 instances, 840 turns a second). What is under
                // way may still take effect.
                Err(StoreError::Unavailable) if direct && self.is_over_rate() => {
                    ways = Vec::new().into_iter();
                }
                // What may have taken effect outweighs what has not.
                Err(StoreError::Unavailable) => {}
                Err(error) => result = Err(error),
            }
        }
    }

    /// The ways in the order in which to try them.
    fn ways(&self) -> Vec<StoreWay> {
        let peers = self.peers.borrow().as_ref().map(|peers| peers.relay_addresses());
        let peers = self.relays.borrow().order(peers.unwrap_or_default());
        let peers = peers.into_iter().take(RELAY_TRIES).map(StoreWay::Peer);
        if self.health.borrow().is_direct_lost() {
            return peers.chain([StoreWay::Direct { fresh: true }]).collect();
        }
        let direct = [StoreWay::Direct { fresh: false }, StoreWay::Direct { fresh: true }];
        direct.into_iter().chain(peers).collect()
    }

    pub(super) async fn send(
        &self,
        way: StoreWay,
        call: &StoreCall,
        limit: Instant,
    ) -> StoreAnswer {
        let begun = Instant::now();
        let limit = limit.saturating_duration_since(begun);
        let answer = match &way {
            StoreWay::Direct { fresh } => self.send_direct(call, *fresh, limit).await,
            StoreWay::Peer(peer) => self.send_by_peer(peer, call, limit).await,
        };
        match &answer {
            Ok(_) if way.is_direct() => {
                self.health.borrow_mut().direct_answered(begun, !call.hold.is_zero());
            }
            Ok(_) => self.health.borrow_mut().answered(),
            // Its failures are judged where their cause is known.
            Err(_) => {}
        }
        if let StoreWay::Peer(peer) = &way {
            self.relays.borrow_mut().note(peer, answer.is_ok());
        }
        answer
    }

    async fn send_direct(&self, call: &StoreCall, fresh: bool, limit: Duration) -> StoreAnswer {
        if fresh {
            self.pool.close_idle(&self.address);
        }
        let body = call.body.clone();
        let method = call.method.clone();
        let begun = Instant::now();
        let answer = self.pool.exchange(&self.address, method, &call.target, body, limit).await;
        self.meter.record_call(call.kind, call_outcome(&answer), begun.elapsed());
        let got = answer.as_ref().map_or(0, |(_, body)| body.len());
        self.meter.record_bytes(call.kind, call.body.len(), got);
        let error = match answer {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.health.borrow_mut().refused_for_rate(begun);
                return Err(StoreError::Unavailable);
            }
            // Refused, with nothing done: another instance may be served all the same.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => StoreError::Unavailable,
            Ok((status, body)) => return Ok((status.as_u16(), body)),
            Err(ExchangeError::NotSent(_)) => StoreError::Unavailable,
            Err(error) => {
                log::debug!("event=store_call_failed target={} error=\"{error}\"", call.target);
                StoreError::ReplyLost
            }
        };
        self.health.borrow_mut().direct_failed(begun, &error);
        Err(error)
    }

    async fn send_by_peer(&self, peer: &str, call: &StoreCall, limit: Duration) -> StoreAnswer {
        let body = RelayRequest::new(call).encode();
        let sent = self.pool.exchange(peer, Method::POST, RELAY_PATH, body, limit).await;
        match sent {
            Ok((status, answer)) if status.is_success() => read_relay(&answer),
            // The peer is cut off itself, and has sent nothing.
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(StoreError::Unavailable),
            Err(ExchangeError::NotSent(_)) => Err(StoreError::Unavailable),
            Ok(_) | Err(_) => Err(StoreError::ReplyLost),
        }
    }
}

/// How a call ended, as the metrics name it.
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
