//! Which members read the head in the table, and whom the others ask.

use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::InstanceId;

/// Members that share one reader of the table.
///
/// Each reader answers one question a second of each of the others: eight keep that below a fifth
/// of a node's bytes for control, and cut the reads to an eighth.
const READER_GROUP_SIZE: usize = 8;

/// Where an instance learns the head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadSource {
    /// It reads the table, for itself and for its group.
    Table,
    /// It asks this member.
    Member(InstanceId),
}

/// The source for `me` among the members that serve, `me` included.
///
/// Every instance that knows the same members computes the same groups. Where two differ for a
/// moment one asks a member that reads nothing itself: the answer is older, never wrong.
pub fn head_source<'a>(me: &str, members: impl Iterator<Item = &'a InstanceId>) -> HeadSource {
    let mut ranked: Vec<(u64, &InstanceId)> =
        members.map(|member| (xxh3_64(member.as_bytes()), member)).collect();
    ranked.sort_unstable();
    let position = ranked.iter().position(|(_, member)| ***member == *me);
    let reader = position.map(|position| ranked[position / READER_GROUP_SIZE * READER_GROUP_SIZE].1);
    match reader {
        Some(reader) if **reader != *me => HeadSource::Member(reader.clone()),
        _ => HeadSource::Table,
    }
}
