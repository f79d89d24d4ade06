//! `merlinsaddle workspace`: creates, changes, retires and lists workspaces.

use clap::{Subcommand, ValueEnum};

use super::table::print_versioned;
use super::target::TargetArgs;
use super::{CmdResult, block_on};
use crate::core::config::{ChangeBody, WorkspaceSpec};
use crate::core::dispatch::ServiceClass;
use crate::core::ids::{ConfigVersion, Tokens, WorkspaceId};
use crate::node::operators::{ClientError, OperatorClient, VersionedWorkspace};

/// Create, change, retire and list workspaces.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    target: TargetArgs,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Create a workspace.
    Create {
        id: WorkspaceId,
        #[arg(long, value_enum)]
        class: ClassArg,
        /// Prompt and generated tokens it may spend in all.
        #[arg(long)]
        budget: Tokens,
        /// Share within its class, 1 to 1000.
        #[arg(long, default_value_t = 100)]
        priority: u16,
    },
    /// Change a workspace; what is not named stays.
    Change {
        id: WorkspaceId,
        #[arg(long, value_enum)]
        class: Option<ClassArg>,
        #[arg(long)]
        budget: Option<Tokens>,
        #[arg(long)]
        priority: Option<u16>,
        /// Version the change is based on; the newest one if not given.
        #[arg(long)]
        expect: Option<ConfigVersion>,
    },
    /// Retire a workspace: its programs are ended and it takes no new ones.
    Retire {
        id: WorkspaceId,
        #[arg(long)]
        expect: Option<ConfigVersion>,
    },
    /// List all workspaces.
    List,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum ClassArg {
    Paying,
    Trial,
}

impl From<ClassArg> for ServiceClass {
    fn from(class: ClassArg) -> Self {
        match class {
            ClassArg::Paying => Self::Paying,
            ClassArg::Trial => Self::Trial,
        }
    }
}

pub fn run(args: Args) -> CmdResult {
    block_on(async {
        let client = args.target.connect().await?;
        match args.action {
            Action::Create { id, class, budget, priority } => {
                let class = class.into();
                let spec = WorkspaceSpec { id, class, budget, priority, retired: false };
                args.target.change(&client, ChangeBody::Workspace(spec), 0).await
            }
            Action::Change { id, class, budget, priority, expect } => {
                let current = find(&client, &id).await?;
                let mut spec = current.value;
                spec.class = class.map_or(spec.class, Into::into);
                spec.budget = budget.unwrap_or(spec.budget);
                spec.priority = priority.unwrap_or(spec.priority);
                args.target
                    .change(&client, ChangeBody::Workspace(spec), expect.unwrap_or(current.version))
                    .await
            }
            Action::Retire { id, expect } => {
                let current = find(&client, &id).await?;
                let spec = WorkspaceSpec { retired: true, ..current.value };
                args.target
                    .change(&client, ChangeBody::Workspace(spec), expect.unwrap_or(current.version))
                    .await
            }
            Action::List => list(&client, args.target.json).await,
        }
    })
}

async fn find(client: &OperatorClient, id: &str) -> Result<VersionedWorkspace, ClientError> {
    let found = client.workspaces().await?.into_iter().find(|found| &*found.value.id == id);
    let message = || format!("there is no workspace '{id}'").into();
    found.ok_or_else(|| ClientError::Refused { message: message() })
}

async fn list(client: &OperatorClient, json: bool) -> CmdResult {
    let found = client.workspaces().await?;
    let row = |spec: &WorkspaceSpec| {
        let class = if spec.class == ServiceClass::Paying { "paying" } else { "trial" };
        vec![
            spec.id.to_string(),
            class.to_owned(),
            spec.budget.to_string(),
            spec.priority.to_string(),
            spec.retired.to_string(),
        ]
    };
    print_versioned(&found, json, &["WORKSPACE", "CLASS", "BUDGET", "PRIORITY", "RETIRED"], row);
    Ok(())
}
