//! `merlinsaddle program`: registers definitions; starts, lists, shows and ends programs.

use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use serde::Serialize;

use super::table::{print_json, print_table, print_versioned};
use super::target::TargetArgs;
use super::{CmdResult, block_on};
use crate::core::config::{ChangeBody, DefinitionSpec};
use crate::core::ids::{Tokens, WorkspaceId};
use crate::node::operators::{OperatorClient, ProgramLine, VersionedDefinition};

/// Register program definitions; start, list, show and end programs.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    target: TargetArgs,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Register a definition, or replace one of the same name.
    Register {
        workspace: WorkspaceId,
        name: Box<str>,
        /// Model its calls go to.
        #[arg(long)]
        model: Box<str>,
        /// File with the instructions that all its programs share.
        #[arg(long)]
        prefix_file: Option<PathBuf>,
        /// Calls a program may make.
        #[arg(long, default_value_t = 200)]
        max_turns: u32,
        /// Tokens a program may use.
        #[arg(long, default_value_t = 1_000_000)]
        max_tokens: Tokens,
        /// A program without a call for so long is ended.
        #[arg(long, default_value_t = 3600)]
        idle_seconds: u64,
    },
    /// Start a program.
    Start {
        workspace: WorkspaceId,
        definition: Box<str>,
        /// Starting again with the same key gives the same program.
        #[arg(long, default_value = "")]
        key: Box<str>,
    },
    /// List the programs of all instances.
    List,
    /// List the definitions.
    Definitions,
    /// Show a program with its history.
    Show { id: Box<str> },
    /// End a program and free what engines hold for it.
    End { id: Box<str> },
}

#[derive(Debug, Serialize)]
struct Started {
    program: Box<str>,
}

pub fn run(args: Args) -> CmdResult {
    block_on(async {
        let client = args.target.connect().await?;
        match args.action {
            Action::Register {
                workspace,
                name,
                model,
                prefix_file,
                max_turns,
                max_tokens,
                idle_seconds,
            } => {
                let prefix = prefix_file.map(std::fs::read_to_string).transpose()?;
                let spec = DefinitionSpec {
                    name,
                    workspace,
                    model,
                    shared_prefix: prefix.unwrap_or_default().into(),
                    max_turns,
                    max_tokens,
                    idle_limit: Duration::from_secs(idle_seconds),
                    retired: false,
                };
                register(&client, spec, &args.target).await
            }
            Action::Start { workspace, definition, key } => {
                let program = client.start_program(&workspace, &definition, &key).await?;
                if args.target.json {
                    print_json(&Started { program });
                } else {
                    println!("{program}");
                }
                Ok(())
            }
            Action::List => list(&client, args.target.json).await,
            Action::Definitions => definitions(&client, args.target.json).await,
            Action::Show { id } => {
                let text = client.show_program(&id).await?;
                let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
                print_json(&value);
                Ok(())
            }
            Action::End { id } => {
                client.end_program(&id).await?;
                println!("ended");
                Ok(())
            }
        }
    })
}

async fn register(client: &OperatorClient, spec: DefinitionSpec, target: &TargetArgs) -> CmdResult {
    let known = client.definitions().await?;
    let same = |found: &&VersionedDefinition| {
        found.value.name == spec.name && found.value.workspace == spec.workspace
    };
    let expected = known.iter().find(same).map_or(0, |found| found.version);
    target.change(client, ChangeBody::Definition(spec), expected).await
}

/// Asks every member, since each knows only the programs it owns.
async fn list(client: &OperatorClient, json: bool) -> CmdResult {
    let mut programs: Vec<ProgramLine> = Vec::new();
    for member in client.members().await? {
        if &*member.state == "dead" {
            continue;
        }
        let listed = async { OperatorClient::connect(&member.rpc_address).await?.programs().await };
        match listed.await {
            Ok(lines) => programs.extend(lines),
            Err(error) => eprintln!("{}: {error}", member.instance),
        }
    }
    programs.sort_by(|a, b| a.program.cmp(&b.program));
    if json {
        print_json(&programs);
        return Ok(());
    }
    let row = |program: &ProgramLine| {
        vec![
            program.program.to_string(),
            program.workspace.to_string(),
            program.definition.to_string(),
            program.turns.to_string(),
            program.tokens.to_string(),
            if program.ended { "ended" } else { "live" }.to_owned(),
            program.owner.to_string(),
        ]
    };
    let rows: Vec<_> = programs.iter().map(row).collect();
    let head = ["PROGRAM", "WORKSPACE", "DEFINITION", "TURNS", "TOKENS", "STATE", "OWNER"];
    print_table(&head, &rows);
    Ok(())
}

async fn definitions(client: &OperatorClient, json: bool) -> CmdResult {
    let found = client.definitions().await?;
    let row = |spec: &DefinitionSpec| {
        vec![
            spec.workspace.to_string(),
            spec.name.to_string(),
            spec.model.to_string(),
            spec.max_turns.to_string(),
            spec.max_tokens.to_string(),
        ]
    };
    print_versioned(&found, json, &["WORKSPACE", "DEFINITION", "MODEL", "TURNS", "TOKENS"], row);
    Ok(())
}
