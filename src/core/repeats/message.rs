//! Datagrams by which instances tell each other of attempts without proof.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{AttemptKey, AttemptState, RequestFingerprint, UnprovenAttempt};
use crate::core::load::LoadKey;

/// First byte of each datagram. Datagrams of the failure detector are packed Cap'n Proto, where it
/// announces more segments than a datagram can hold; 0xFE and 0xFF mark load and quota datagrams, 0xFD
/// those of releases that counted losses by upstream.
const MESSAGE_TAG: u8 = 0xFC;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LossMessage {
    /// To the keepers of the work: what the sender knows.
    Unproven(ReportedWork),
    /// To all: upstreams were lost one after the other.
    Repeated(ReportedWork),
    /// To the keepers: the work ended well.
    Answered(ProvenWork),
    /// To all: the work ended well, its losses do not count any longer.
    Cleared(ProvenWork),
    /// From an instance that may have missed messages.
    Wanted,
    /// The reply to [`LossMessage::Wanted`]; `is_last` ends it.
    Known { work: Vec<ReportedWork>, is_last: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWork {
    pub fingerprint: RequestFingerprint,
    pub attempts: Vec<ReportedAttempt>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvenWork {
    pub fingerprint: RequestFingerprint,
    /// Milliseconds since the proof.
    pub age: u32,
}

/// An attempt with ages instead of times, as instances share no clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedAttempt {
    pub key: AttemptKey,
    pub upstream: LoadKey,
    pub state: AttemptState,
    /// Milliseconds since the request was sent.
    pub sent_age: u32,
    /// Milliseconds since the attempt ended.
    pub ended_age: u32,
}

fn age(at: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis().try_into().unwrap_or(u32::MAX)
}

/// `None` for a time before the start of this machine's clock.
fn time(age: u32, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age.into()))
}

impl ReportedAttempt {
    pub fn of(attempt: &UnprovenAttempt, now: Instant) -> Self {
        Self {
            key: attempt.key,
            upstream: attempt.upstream,
            state: attempt.state,
            sent_age: age(attempt.sent_at, now),
            ended_age: age(attempt.ended_at, now),
        }
    }

    /// `None` if its times are before the start of this machine's clock.
    pub fn received(&self, now: Instant) -> Option<UnprovenAttempt> {
        Some(UnprovenAttempt {
            key: self.key,
            upstream: self.upstream,
            state: self.state,
            sent_at: time(self.sent_age, now)?,
            ended_at: time(self.ended_age, now)?,
        })
    }

    /// The same, seen `later`.
    #[must_use]
    pub fn aged(&self, later: Duration) -> Self {
        let later = later.as_millis().try_into().unwrap_or(u32::MAX);
        Self {
            sent_age: self.sent_age.saturating_add(later),
            ended_age: self.ended_age.saturating_add(later),
            ..*self
        }
    }
}

impl ReportedWork {
    pub fn of(fingerprint: RequestFingerprint, attempts: &[UnprovenAttempt], now: Instant) -> Self {
        let attempts = attempts.iter().map(|attempt| ReportedAttempt::of(attempt, now)).collect();
        Self { fingerprint, attempts }
    }
}

impl ProvenWork {
    pub fn of(fingerprint: RequestFingerprint, proven_at: Instant, now: Instant) -> Self {
        Self { fingerprint, age: age(proven_at, now) }
    }

    /// `None` if it is before the start of this machine's clock.
    pub fn proven_at(&self, now: Instant) -> Option<Instant> {
        time(self.age, now)
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
