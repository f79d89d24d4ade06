//! Identifiers and counters shared by all modules.

use derive_more::{Display, Error};

pub type InstanceId = Box<str>;
/// Number of one run of an instance; increases with every start of any instance, never reused.
pub type Incarnation = u64;
/// Index of a shard, below the `shards` setting.
pub type ShardId = u16;
/// Shard (16 bits), allocating incarnation (24 bits) and a counter (24 bits).
pub type ProgramId = u64;
/// Position of a call in its program, from 1.
pub type CallNumber = u32;
/// Idempotency key of a call, chosen by the caller.
pub type RequestId = Box<str>;
/// Target of a call: `model`, or `service/` followed by the name of a service.
pub type TargetName = Box<str>;
pub type ObjectName = Box<str>;
pub type WorkspaceId = Box<str>;
pub type UpstreamId = Box<str>;
pub type DefinitionName = Box<str>;
pub type Tokens = u64;
/// Number of a configuration change; 0 before the first one.
pub type ConfigVersion = u64;
/// Permit to run one request on an engine, numbered by the engine's owner.
pub type PermitId = u64;

const COUNTER_BITS: u32 = 24;
const INCARNATION_BITS: u32 = 24;
const COUNTER_MASK: u64 = (1 << COUNTER_BITS) - 1;
const INCARNATION_MASK: u64 = (1 << INCARNATION_BITS) - 1;

/// Packs the parts of a program id. Ids are unique while incarnation and counter fit in 24 bits,
/// which for incarnations lasts 35 years at 1,300 starts a day.
pub fn compose_program_id(shard: ShardId, incarnation: Incarnation, counter: u64) -> ProgramId {
    let shard_part = u64::from(shard) << (COUNTER_BITS + INCARNATION_BITS);
    let incarnation_part = (incarnation & INCARNATION_MASK) << COUNTER_BITS;
    shard_part | incarnation_part | (counter & COUNTER_MASK)
}

/// The shard of a program, which never changes.
pub fn shard_of(program: ProgramId) -> ShardId {
    (program >> (COUNTER_BITS + INCARNATION_BITS)) as ShardId
}

/// The external form of a program id: 16 hexadecimal digits.
pub fn format_program_id(program: ProgramId) -> Box<str> {
    format!("{program:016x}").into()
}

pub fn parse_program_id(text: &str) -> Result<ProgramId, ParseProgramIdError> {
    let parsed = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
    parsed.ok_or_else(|| ParseProgramIdError { text: text.into() })
}

#[derive(Debug, Clone, PartialEq, Display, Error)]
#[display("'{text}' is not a program id: 16 hexadecimal digits are expected")]
pub struct ParseProgramIdError {
    text: Box<str>,
}
