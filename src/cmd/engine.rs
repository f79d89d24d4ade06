//! `merlinsaddle engine`: says what the engines of a model should have loaded, and their role.

use clap::{Subcommand, ValueEnum};

use super::table::print_versioned;
use super::target::TargetArgs;
use super::{CmdError, CmdResult, block_on};
use crate::core::config::{ChangeBody, EngineGroupSpec};
use crate::core::ids::ConfigVersion;
use crate::core::orders::{EngineArtifact, EngineRole};
use crate::node::operators::OperatorClient;

/// Say what the engines of a model should have loaded, and list that.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    target: TargetArgs,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Set the wanted state; engines are brought to it a few at a time.
    Set {
        model: Box<str>,
        /// Weights or an adapter as NAME=VERSION; repeat it for each one.
        #[arg(long = "artifact", value_parser = parse_artifact)]
        artifacts: Vec<EngineArtifact>,
        #[arg(long, value_enum, default_value = "mixed")]
        role: RoleArg,
        /// Share of the engines that may be away for orders at once.
        #[arg(long, default_value_t = 10)]
        max_away_percent: u8,
        /// Version the change is based on; the newest one if not given.
        #[arg(long)]
        expect: Option<ConfigVersion>,
    },
    /// List the wanted state of all models.
    List,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum RoleArg {
    Mixed,
    Prefill,
    Decode,
}

impl From<RoleArg> for EngineRole {
    fn from(role: RoleArg) -> Self {
        match role {
            RoleArg::Mixed => Self::Mixed,
            RoleArg::Prefill => Self::Prefill,
            RoleArg::Decode => Self::Decode,
        }
    }
}

fn parse_artifact(text: &str) -> Result<EngineArtifact, CmdError> {
    let (name, version) =
        text.split_once('=').ok_or_else(|| CmdError::failed("NAME=VERSION is expected"))?;
    Ok(EngineArtifact { name: name.into(), version: version.into() })
}

pub fn run(args: Args) -> CmdResult {
    block_on(async {
        let client = args.target.connect().await?;
        match args.action {
            Action::Set { model, artifacts, role, max_away_percent, expect } => {
                let role = role.into();
                let spec = EngineGroupSpec { model, artifacts, role, max_away_percent };
                set(&client, spec, expect, &args.target).await
            }
            Action::List => list(&client, args.target.json).await,
        }
    })
}

async fn set(
    client: &OperatorClient,
    spec: EngineGroupSpec,
    expect: Option<ConfigVersion>,
    target: &TargetArgs,
) -> CmdResult {
    let groups = client.engine_groups().await?;
    let current = groups.iter().find(|found| found.value.model == spec.model);
    let expected = expect.unwrap_or(current.map_or(0, |found| found.version));
    target.change(client, ChangeBody::EngineGroup(spec), expected).await
}

async fn list(client: &OperatorClient, json: bool) -> CmdResult {
    let found = client.engine_groups().await?;
    let row = |spec: &EngineGroupSpec| {
        let artifacts = spec.artifacts.iter();
        let artifacts = artifacts.map(|item| format!("{}={}", item.name, item.version));
        vec![
            spec.model.to_string(),
            artifacts.collect::<Vec<_>>().join(","),
            spec.role.to_string(),
            spec.max_away_percent.to_string(),
        ]
    };
    print_versioned(&found, json, &["MODEL", "ARTIFACTS", "ROLE", "MAX-AWAY-%"], row);
    Ok(())
}
