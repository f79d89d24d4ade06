//! Identifiers and the units they are counted in.

use derive_more::{Display, Error};

/// Name of an instance, from its settings.
pub type InstanceId = Box<str>;
/// One run of an instance; rises with every start of any instance and is never used twice.
pub type Incarnation = u64;
/// Index of a shard, below the `shards` setting.
pub type ShardId = u16;
/// Shard (16 bits), minting incarnation (24 bits) and a counter (24 bits).
pub type ProgramId = u64;
/// Position of a call in its program, from 1.
pub type CallNumber = u32;
/// The caller's name for one call; the same id again means the same call.
pub type RequestId = Box<str>;
/// What a call goes to: `model`, or a service's name after `service/`.
pub type TargetName = Box<str>;
/// Name of an object in the platform's object store.
pub type ObjectName = Box<str>;
/// Name of a workspace.
pub type WorkspaceId = Box<str>;
/// Name of an engine or a plain service.
pub type UpstreamId = Box<str>;
/// Name of a program definition.
pub type DefinitionName = Box<str>;
/// Prompt and generated tokens.
pub type Tokens = u64;
/// Number of a configuration change; 0 before the first.
pub type ConfigVersion = u64;
/// A slot on an engine, as its owner numbers it.
pub type PermitId = u64;

const COUNTER_BITS: u32 = 24;
const INCARNATION_BITS: u32 = 24;
const COUNTER_MASK: u64 = (1 << COUNTER_BITS) - 1;
const INCARNATION_MASK: u64 = (1 << INCARNATION_BITS) - 1;

/// Packs the parts of a program id. Ids are unique while incarnation and counter fit in 24 bits.
pub fn compose_program_id(shard: ShardId, incarnation: Incarnation, counter: u64) -> ProgramId {
    let shard_part = u64::from(shard) << (COUNTER_BITS + INCARNATION_BITS);
    let incarnation_part = (incarnation & INCARNATION_MASK) << COUNTER_BITS;
    shard_part | incarnation_part | (counter & COUNTER_MASK)
}

/// The shard a program belongs to for all its life.
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
