//! Who may ask: the workspaces that a configuration names, and the keys by which they are known.

mod name;
mod table;

use std::fmt;

use crate::core::ids::WorkspaceId;
use crate::core::quotas::QuotaLimit;

pub use name::owned_name;
pub use table::{KeyProblem, WorkspaceTable};

/// A secret by which callers show their workspace. It has no text form, so that it cannot slip into
/// a log line, a metric or an error; looked at whole only where keys are compared.
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

/// One workspace of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    pub name: WorkspaceId,
    pub keys: Vec<ApiKey>,
    /// 0 is the most urgent; goes before the route's where it is set.
    pub priority: Option<u8>,
    /// How much it may ask; none if that is not limited.
    pub quota: Option<QuotaLimit>,
}
