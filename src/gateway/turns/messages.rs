//! What an instance and a coordinator say to each other: a line of JSON, then records.

use serde::{Deserialize, Serialize};

use super::claim::TurnClaim;
use crate::core::ids::Tokens;
use crate::core::turns::{PrefixHolder, ProgramName, TurnId, TurnScope};

/// A claim on its way to a coordinator.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ClaimRequest {
    pub(super) claim: TurnClaim,
    /// Whether the sender has the chain.
    pub(super) knows_chain: bool,
    pub(super) limit_ms: u64,
}

/// One turn of a chain in a reply; the records follow the head one after another.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ChainTurn {
    pub(super) turn: TurnId,
    pub(super) program: ProgramName,
    pub(super) bytes: usize,
}

/// What became of a claim.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClaimReply {
    Granted {
        chain: Vec<ChainTurn>,
        #[serde(default)]
        holder: Option<PrefixHolder>,
    },
    NoSuchTurn,
    NotAdmitted,
    Exhausted {
        committed: Tokens,
    },
}

/// A finished turn on its way to a coordinator; its record follows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PersistRequest {
    pub(super) program: ProgramName,
    pub(super) turn: TurnId,
    pub(super) limit_ms: u64,
}

/// What a turn has used that leaves no record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TurnEnd {
    pub(super) program: ProgramName,
    pub(super) turn: TurnId,
    pub(super) used: Tokens,
    #[serde(default)]
    pub(super) scope: TurnScope,
    /// Where it ran whole.
    #[serde(default)]
    pub(super) ran_at: Option<PrefixHolder>,
}
