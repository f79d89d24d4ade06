//! Names that callers choose, kept apart by workspace.

use crate::core::ids::WorkspaceId;

/// A caller's name for a program or a turn as the system knows it.
///
/// Two workspaces that choose the same name, or one that guesses another's, never meet: history,
/// tokens and index rows lie under names that begin with the workspace. Its length stands first, as
/// a workspace's name may hold any character. Without workspaces a name is taken as it is.
pub fn qualified_name(workspace: Option<&WorkspaceId>, name: &str) -> Box<str> {
    match workspace {
        Some(workspace) => format!("{}:{workspace}/{name}", workspace.len()).into(),
        None => name.into(),
    }
}
