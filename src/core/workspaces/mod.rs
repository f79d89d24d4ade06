//! The workspaces of a configuration and the API keys that authenticate them.

mod name;
mod table;

use std::fmt;

use crate::core::ids::WorkspaceId;
use crate::core::quotas::QuotaLimit;

pub use name::{qualified_name, resolved_name, unmarked_name};
pub use table::{InvalidKey, WorkspaceTable};

/// A secret that identifies a workspace. Its `Debug` form is redacted to keep it out of logs, metrics
/// and errors.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    pub fn new(secret: impl Into<Box<str>>) -> Self {
        Self(secret.into())
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    pub name: WorkspaceId,
    pub keys: Vec<ApiKey>,
    /// 0 is the most urgent; overrides the priority of the route.
    pub priority: Option<u8>,
    /// `None` if unlimited.
    pub quota: Option<QuotaLimit>,
}
