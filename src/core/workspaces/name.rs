//! Caller-chosen names, qualified by workspace.

use crate::core::ids::WorkspaceId;

/// Qualifies a caller's name for a program or a turn, so that workspaces cannot reach each other's
/// rows. The workspace is prefixed with its length because its name may contain any character.
pub fn qualified_name(workspace: Option<&WorkspaceId>, name: &str) -> Box<str> {
    match workspace {
        Some(workspace) => format!("{}:{workspace}/{name}", workspace.len()).into(),
        None => name.into(),
    }
}
