//! Datagrams by which instances tell each other of lost upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{RequestFingerprint, UpstreamLoss};
use crate::core::load::LoadKey;

/// First byte of each datagram. Datagrams of the failure detector are packed Cap'n Proto, where it
/// announces more segments than a datagram can hold; 0xFE and 0xFF mark load and quota datagrams.
const MESSAGE_TAG: u8 = 0xFD;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossMessage {
    /// To the keepers of the fingerprint: what the sender knows.
    Lost(ReportedLosses),
    /// To all: upstreams were lost one after the other.
    Repeated(ReportedLosses),
    /// To the keepers: the request was answered.
    Answered(RequestFingerprint),
    /// To all: the request was answered, its losses do not count any longer.
    Cleared(RequestFingerprint),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLosses {
    pub fingerprint: RequestFingerprint,
    pub losses: Vec<ReportedLoss>,
}

/// A loss with ages instead of times, as instances share no clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoss {
    pub upstream: LoadKey,
    /// Milliseconds since the request was sent.
    pub sent_age: u32,
    /// Milliseconds since the upstream was lost.
    pub lost_age: u32,
}

impl ReportedLoss {
    pub fn of(loss: &UpstreamLoss, now: Instant) -> Self {
        let age = |at| now.saturating_duration_since(at).as_millis().try_into().unwrap_or(u32::MAX);
        Self { upstream: loss.upstream, sent_age: age(loss.sent_at), lost_age: age(loss.lost_at) }
    }

    /// `None` if its times are before the start of this machine's clock.
    pub fn received(&self, now: Instant) -> Option<UpstreamLoss> {
        let time = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
        let (sent_at, lost_at) = (time(self.sent_age)?, time(self.lost_age)?);
        Some(UpstreamLoss { upstream: self.upstream, sent_at, lost_at })
    }
}

impl ReportedLosses {
    pub fn of(fingerprint: RequestFingerprint, losses: &[UpstreamLoss], now: Instant) -> Self {
        let losses = losses.iter().map(|loss| ReportedLoss::of(loss, now)).collect();
        Self { fingerprint, losses }
    }
}

impl LossMessage {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![MESSAGE_TAG]).expect("messages serialize")
    }

    /// None if the datagram is of another kind.
    pub fn decode(datagram: &[u8]) -> Option<Result<Self, postcard::Error>> {
        let payload = datagram.strip_prefix(&[MESSAGE_TAG])?;
        Some(postcard::from_bytes(payload))
    }
}
