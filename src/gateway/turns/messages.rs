//! Messages between an instance and a coordinator: a line of JSON, followed by encoded records.

use serde::{Deserialize, Serialize};

use super::claim::{TurnClaim, is_false};
use crate::core::ids::Tokens;
use crate::core::turns::{PrefixHolder, ProgramName, TurnId, TurnScope};
use crate::core::workspaces::resolved_name;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ClaimRequest {
    pub(super) claim: TurnClaim,
    /// The sender has the chain cached, so the reply omits it.
    pub(super) knows_chain: bool,
    pub(super) limit_ms: u64,
}

/// Header of one turn of a chain; the records follow the JSON in the same order.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ChainTurn {
    pub(super) turn: TurnId,
    pub(super) program: ProgramName,
    /// Length of the encoded record.
    pub(super) bytes: usize,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClaimReply {
    Granted {
        chain: Vec<ChainTurn>,
        #[serde(default)]
        holder: Option<PrefixHolder>,
        /// The program had a ledger before the claim.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        had_ledger: Option<bool>,
    },
    NoSuchTurn,
    NotAdmitted,
    Exhausted {
        committed: Tokens,
        /// The end of other turns does not help. Releases that do not say so wait for none.
        #[serde(default, skip_serializing_if = "is_false")]
        permanent: bool,
    },
}

/// Asks a coordinator to store a completed turn, whose record follows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PersistRequest {
    pub(super) program: ProgramName,
    pub(super) turn: TurnId,
    pub(super) limit_ms: u64,
}

/// Settles a turn that leaves no record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TurnEnd {
    pub(super) program: ProgramName,
    pub(super) turn: TurnId,
    pub(super) used: Tokens,
    #[serde(default)]
    pub(super) scope: TurnScope,
    /// The engine that completed the turn.
    #[serde(default)]
    pub(super) ran_at: Option<PrefixHolder>,
}

/// Replaces the names of a message by those that they stand for: a peer of a release that does not mark
/// names sends those of callers without a workspace as they are.
pub(super) fn resolve_names(program: &mut ProgramName, turn: &mut TurnId) {
    let names = (resolved_name(program, turn), resolved_name(turn, program));
    if (&names.0, &names.1) != (&*program, &*turn) {
        log::info!("event=peer_names_resolved program={program} turn={turn}");
    }
    (*program, *turn) = names;
}
