//! A program's durable state and the admission of its calls.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::record::JournalRecord;
use super::segment::SegmentRef;
use crate::core::ids::{
    CallNumber, DefinitionName, ProgramId, RequestId, TargetName, Tokens, UpstreamId, WorkspaceId,
};
use crate::core::outcome::{CallOutcome, RefusalReason};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TurnRecord {
    pub number: CallNumber,
    pub request_id: RequestId,
    pub input: Box<str>,
    pub target: TargetName,
    /// Answered or unknown: a call that did not run leaves no turn.
    pub outcome: CallOutcome,
}

impl TurnRecord {
    fn matches(&self, call: &CallKey) -> bool {
        self.request_id == call.request_id && self.input == call.input && self.target == call.target
    }
}

/// A non-idempotent call that was, or may have been, sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallIntent {
    pub number: CallNumber,
    pub request_id: RequestId,
    pub input: Box<str>,
    pub target: TargetName,
    pub upstream: UpstreamId,
}

/// Two submissions with equal keys are the same call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallKey {
    pub number: CallNumber,
    pub request_id: RequestId,
    pub input: Box<str>,
    pub target: TargetName,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    #[display("asked by its caller or an operator")]
    Asked,
    #[display("idle for longer than its definition allows")]
    Idle,
    #[display("its parent ended")]
    ParentEnded,
    #[display("its workspace was retired")]
    WorkspaceRetired,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramEnd {
    pub reason: EndReason,
    /// Milliseconds since the Unix epoch by the owner's clock; used for retention only.
    pub wall_millis: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    Run,
    /// The call is running: return its result to this caller too.
    Attach,
    /// The call has finished with this outcome.
    Recorded(CallOutcome),
    /// Retry when the earlier call has finished or the program's end has been written.
    Wait,
    /// Retry when the older turns have been loaded.
    LoadTurns,
    Refuse(RefusalReason),
}

/// A program's state, rebuilt from its journal records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProgramRecord {
    pub id: ProgramId,
    pub workspace: WorkspaceId,
    pub definition: DefinitionName,
    pub start_key: Option<Box<str>>,
    pub parent: Option<ProgramId>,
    /// Objects with the oldest turns, in order.
    #[serde(default)]
    pub segments: Vec<SegmentRef>,
    /// All turns, or those after the segments while these are not loaded.
    #[serde(default)]
    pub turns: Vec<TurnRecord>,
    pub intent: Option<CallIntent>,
    pub ended: Option<ProgramEnd>,
    /// Engines that may hold memory for the program.
    pub holders: BTreeSet<UpstreamId>,
    /// Tokens billed so far.
    pub tokens: Tokens,
    /// Number of turns in segments that have not been loaded.
    #[serde(skip)]
    pub unloaded_turns: u32,
    #[serde(skip)]
    pub running: Option<CallKey>,
    /// The end is being written: a call admitted now would leave a turn after it.
    #[serde(skip)]
    pub ending: bool,
    #[serde(skip)]
    pub last_active: Option<Instant>,
    /// Absent if the program started at another owner.
    #[serde(skip)]
    pub started_here: Option<Instant>,
}

impl ProgramRecord {
    /// The state after [`JournalRecord::Started`].
    pub fn new(
        id: ProgramId,
        workspace: WorkspaceId,
        definition: DefinitionName,
        start_key: Option<Box<str>>,
        parent: Option<ProgramId>,
    ) -> Self {
        Self {
            id,
            workspace,
            definition,
            start_key,
            parent,
            segments: Vec::new(),
            turns: Vec::new(),
            unloaded_turns: 0,
            intent: None,
            ended: None,
            holders: BTreeSet::new(),
            tokens: 0,
            running: None,
            ending: false,
            last_active: None,
            started_here: None,
        }
    }

    pub fn next_number(&self) -> CallNumber {
        self.unloaded_turns + self.turns.len() as CallNumber + 1
    }

    pub fn stored_turns(&self) -> u32 {
        self.segments.iter().map(|segment| segment.turns).sum()
    }

    /// The form in a checkpoint, with all turns in `segments`.
    pub fn without_turns(&self, segments: Vec<SegmentRef>) -> Self {
        let mut stored = Self::new(
            self.id,
            self.workspace.clone(),
            self.definition.clone(),
            self.start_key.clone(),
            self.parent,
        );
        stored.segments = segments;
        stored.intent = self.intent.clone();
        stored.ended = self.ended;
        stored.holders = self.holders.clone();
        stored.tokens = self.tokens;
        stored
    }

    /// Turns that are in no segment.
    pub fn unstored_turns(&self) -> &[TurnRecord] {
        &self.turns[(self.stored_turns() - self.unloaded_turns) as usize..]
    }

    pub fn unloaded_segments(&self) -> Vec<SegmentRef> {
        let mut turns = 0;
        let unloaded = self.segments.iter().take_while(|segment| {
            turns += segment.turns;
            turns <= self.unloaded_turns
        });
        unloaded.cloned().collect()
    }

    /// Prepends the turns of the unloaded segments, unless they were loaded meanwhile.
    pub fn load_turns(&mut self, older: Vec<TurnRecord>) {
        if self.unloaded_turns as usize == older.len() {
            self.turns.splice(..0, older);
            self.unloaded_turns = 0;
        }
    }

    pub fn admit(&self, call: &CallKey) -> Admission {
        if self.unloaded_turns > 0 {
            return Admission::LoadTurns;
        }
        if let Some(turn) = self.turn(call.number) {
            return if turn.matches(call) {
                Admission::Recorded(turn.outcome.clone())
            } else {
                Admission::Refuse(RefusalReason::RequestReused)
            };
        }
        if self.ended.is_some() {
            return Admission::Refuse(RefusalReason::ProgramEnded);
        }
        let reused = self.turns.iter().any(|turn| turn.request_id == call.request_id);
        if reused {
            return Admission::Refuse(RefusalReason::RequestReused);
        }
        match &self.running {
            Some(running) if running == call => Admission::Attach,
            Some(running) if running.number == call.number => {
                Admission::Refuse(RefusalReason::RequestReused)
            }
            Some(running) if call.number > running.number => Admission::Wait,
            None if self.ending => Admission::Wait,
            None if call.number == self.next_number() => Admission::Run,
            _ => Admission::Refuse(RefusalReason::WrongNumber { expected: self.next_number() }),
        }
    }

    /// None also for a turn that is not loaded.
    pub fn turn(&self, number: CallNumber) -> Option<&TurnRecord> {
        let index = (number as usize).checked_sub(self.unloaded_turns as usize + 1)?;
        self.turns.get(index)
    }

    /// Records of a program must be applied in journal order.
    pub fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Started { .. } => {}
            JournalRecord::Intended { intent, .. } => self.intent = Some(intent.clone()),
            JournalRecord::Withdrawn { .. } => self.intent = None,
            JournalRecord::Finished { turn, .. } => self.finish(turn),
            JournalRecord::Spent { tokens, upstream, .. } => {
                self.tokens += tokens;
                self.holders.insert(upstream.clone());
            }
            JournalRecord::Ended { end, .. } => self.ended = Some(*end),
            JournalRecord::Released { upstream, .. } => {
                self.holders.remove(upstream);
            }
        }
    }

    fn finish(&mut self, turn: &TurnRecord) {
        assert_eq!(turn.number, self.next_number(), "turns are journaled in order");
        if let CallOutcome::Answered(answer) = &turn.outcome {
            self.tokens += answer.usage.billed();
            if answer.usage.billed() > 0 {
                self.holders.insert(answer.upstream.clone());
            }
        }
        self.intent = None;
        self.turns.push(turn.clone());
    }
}
