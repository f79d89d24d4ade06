//! Caller-chosen names, qualified by workspace.

use crate::core::ids::WorkspaceId;

/// Precedes the name of a caller without a workspace that could be mistaken for a workspace's.
const NO_WORKSPACE: &str = "-/";

/// Qualifies a caller's name for a program or a turn, so that callers of different workspaces, or of
/// none, cannot reach each other's rows. The workspace is prefixed with its length because its name
/// may contain any character.
pub fn qualified_name(workspace: Option<&WorkspaceId>, name: &str) -> Box<str> {
    match workspace {
        Some(workspace) => format!("{}:{workspace}/{name}", workspace.len()).into(),
        None if is_ambiguous(name) => mark(name),
        None => name.into(),
    }
}

/// The workspace of a qualified name; `None` if its caller has none.
fn workspace_of(name: &str) -> Option<&str> {
    let (digits, rest) = name.split_once(':')?;
    let len: usize = digits.parse().ok()?;
    // Qualified names have neither signs nor leading zeros.
    let is_canonical = len.to_string() == digits;
    let workspace = rest.get(..len).filter(|_| is_canonical)?;
    rest[len..].starts_with('/').then_some(workspace)
}

/// The name that `name` stands for in a row or message whose own name is `context`.
///
/// The names of a program, its turns and their predecessors belong to one workspace. Releases that did
/// not mark the names of callers without a workspace left names that break this rule; they are such a
/// caller's.
pub fn resolved_name(name: &str, context: &str) -> Box<str> {
    let workspace = workspace_of(name);
    match workspace.is_some() && workspace != workspace_of(context) {
        true => mark(name),
        false => name.into(),
    }
}

/// The form in which releases that did not mark names stored this one; `None` if it is the same.
pub fn unmarked_name(name: &str) -> Option<&str> {
    name.strip_prefix(NO_WORKSPACE).filter(|unmarked| is_ambiguous(unmarked))
}

/// True for the form of a workspace's name, and for marked names, which must stay distinct from it.
fn is_ambiguous(name: &str) -> bool {
    workspace_of(name.trim_start_matches(NO_WORKSPACE)).is_some()
}

fn mark(name: &str) -> Box<str> {
    format!("{NO_WORKSPACE}{name}").into()
}
