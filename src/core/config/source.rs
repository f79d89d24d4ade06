//! Assigns the members that read the configuration's head in the table, and those that ask them.

use xxhash_rust::xxh3::xxh3_64;

use crate::core::ids::InstanceId;

/// Members per reader. Larger groups save reads of the table, but add control traffic at the
/// reader, which answers each of the others once a second: with eight that is less than a fifth of
/// a node's control traffic.
const READER_GROUP_SIZE: usize = 8;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadSource {
    /// The instance is the reader of its group.
    Table,
    /// The reader of the group.
    Member(InstanceId),
}

/// The source for `me` among the serving members, which include `me`.
///
/// Instances with the same members compute the same groups. While they differ, one may ask a member
/// that is no reader: its answer is older, but still correct.
pub fn head_source<'a>(me: &str, members: impl Iterator<Item = &'a InstanceId>) -> HeadSource {
    let mut ranked: Vec<(u64, &InstanceId)> =
        members.map(|member| (xxh3_64(member.as_bytes()), member)).collect();
    ranked.sort_unstable();
    let position = ranked.iter().position(|(_, member)| ***member == *me);
    let reader =
        position.map(|position| ranked[position / READER_GROUP_SIZE * READER_GROUP_SIZE].1);
    match reader {
        Some(reader) if **reader != *me => HeadSource::Member(reader.clone()),
        _ => HeadSource::Table,
    }
}
