//! Assigns a job to leaders among the members of a zone, and the other members to these leaders.

use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupRole<'a> {
    Leader,
    /// Served by this leader.
    Follower(&'a str),
}

/// Picks one of `group_size` members, by the lowest hashes. Members that agree on the list pick the
/// same leaders without exchanging messages.
pub fn leaders<'a>(
    work: &str,
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

/// Picks a member for a key by rendezvous hashing: when members join or leave, only their keys
/// move.
pub fn preferred_member<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let weight = |member: &str| xxh3_64(format!("{key}/{member}").as_bytes());
    members.into_iter().max_by_key(|member| weight(member))
}

/// Like [`preferred_member`], for several members: the first, and those that would follow it.
pub fn preferred_members<'a>(
    key: &str,
    count: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut rest: Vec<&str> = members.into_iter().collect();
    let mut preferred = Vec::new();
    while preferred.len() < count
        && let Some(next) = preferred_member(key, rest.iter().copied())
    {
        rest.retain(|member| *member != next);
        preferred.push(next);
    }
    preferred
}

/// Returns the role of `me` where one of `group_size` members does the job for its group.
pub fn group_role<'a>(
    work: &str,
    me: &str,
    group_size: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> GroupRole<'a> {
    let leaders = leaders(work, group_size, members);
    if leaders.contains(&me) {
        return GroupRole::Leader;
    }
    preferred_member(me, leaders).map_or(GroupRole::Leader, GroupRole::Follower)
}

/// Like [`group_role`], but leaders form groups again until at most `max_roots` of them are left.
pub fn tree_role<'a>(
    work: &str,
    me: &str,
    group_size: usize,
    max_roots: usize,
    members: impl IntoIterator<Item = &'a str>,
) -> GroupRole<'a> {
    let mut level = leaders(work, group_size, members);
    loop {
        if !level.contains(&me) {
            return preferred_member(me, level).map_or(GroupRole::Leader, GroupRole::Follower);
        }
        if level.len() <= max_roots {
            return GroupRole::Leader;
        }
        level = leaders(work, group_size, level);
    }
}
