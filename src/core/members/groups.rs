//! Members of a zone that do something for the others.

use xxhash_rust::xxh3::xxh3_64;

/// Who does a work for one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupRole<'a> {
    /// It does the work itself, and for others.
    Leader,
    /// This one does it.
    Follower(&'a str),
}

/// One of `span` members, those with the lowest hashes.
///
/// All that agree on the members name the same leaders without a word.
pub fn leaders<'a>(
    job: &str,
    group_size: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let rank = |member: &str| xxh3_64(format!("{work}/{member}").as_bytes());
    let mut ranked: Vec<(u64, &str)> =
        members.into_iter().map(|member| (rank(member), member)).collect();
    ranked.sort_unstable();
    ranked.truncate(ranked.len().div_ceil(group_size));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The favourite of a key among some members. When the members change, only the keys of those that
/// came or went move.
pub fn preferred_member<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let weight = |member: &str| xxh3_64(format!("{key}/{member}").as_bytes());
    members.into_iter().max_by_key(|member| weight(member))
}

/// Who does a work for `me`, where one of `span` members does it for all.
pub fn group_role<'a>(
    job: &str,
    me: &str,
    group_size: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> GroupRole<'a> {
    let leaders = leaders(job, group_size, members);
    if leaders.contains(&me) {
        return GroupRole::Leader;
    }
    preferred_member(me, leaders).map_or(GroupRole::Leader, GroupRole::Follower)
}

/// Who does a work for `me` in a tree: one of `span` members does it for the others, and so on among
/// those, until no more than `roots` are left that do it by themselves.
pub fn tree_role<'a>(
    job: &str,
    me: &str,
    group_size: usize,
    max_roots: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> GroupRole<'a> {
    let mut level = leaders(job, group_size, members);
    loop {
        if !level.contains(&me) {
            return preferred_member(me, level).map_or(GroupRole::Leader, GroupRole::Follower);
        }
        if level.len() <= max_roots {
            return GroupRole::Leader;
        }
        level = leaders(job, group_size, level);
    }
}
