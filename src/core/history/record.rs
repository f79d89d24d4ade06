//! Journal records and batches.

use serde::{Deserialize, Serialize};

use super::program::{CallIntent, ProgramEnd, TurnRecord};
use crate::core::ids::{CallNumber, DefinitionName, ProgramId, Tokens, UpstreamId, WorkspaceId};
use crate::core::timeline::CausalStamp;

/// One change of one program; replaying them in order rebuilds the program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum JournalRecord {
    Started {
        program: ProgramId,
        workspace: WorkspaceId,
        definition: DefinitionName,
        start_key: Option<Box<str>>,
        parent: Option<ProgramId>,
    },
    /// A non-idempotent call is about to be sent; committed before its first byte is.
    Intended {
        program: ProgramId,
        intent: CallIntent,
    },
    /// No byte of an intended call was sent, so the intent is void.
    Withdrawn {
        program: ProgramId,
        number: CallNumber,
    },
    /// A call has its final outcome.
    Finished {
        program: ProgramId,
        turn: TurnRecord,
    },
    /// Cost of an attempt without a turn.
    Spent {
        program: ProgramId,
        tokens: Tokens,
        upstream: UpstreamId,
    },
    Ended {
        program: ProgramId,
        end: ProgramEnd,
    },
    /// An engine confirmed that it holds nothing for the ended program.
    Released {
        program: ProgramId,
        upstream: UpstreamId,
    },
}

impl JournalRecord {
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Started { program, .. }
            | Self::Intended { program, .. }
            | Self::Withdrawn { program, .. }
            | Self::Finished { program, .. }
            | Self::Spent { program, .. }
            | Self::Ended { program, .. }
            | Self::Released { program, .. } => *program,
        }
    }
}

/// The records that one commit appends to an incarnation's journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalBatch {
    pub stamp: CausalStamp,
    pub records: Vec<JournalRecord>,
}
