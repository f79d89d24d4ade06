//! The merlinsaddle program: one binary, one list of commands.

use std::io::{Write, stderr};
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use merlinsaddle::cmd;

#[path = "../platform/mod.rs"]
mod platform;

/// Schedules agent programs in front of model engines and plain services.
///
/// Exit codes: 0 done; 1 failed; 2 wrong usage or settings; 3 another operator was first;
/// 4 refused; 5 no instance answers; 6 unknown whether it took effect; 7 an address is taken;
/// 8 a stop ran out of time.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Gateway(cmd::gateway::Args),
    Serve(cmd::serve::Args),
    StandIn(cmd::stand_in::Args),
    Workspace(cmd::workspace::Args),
    Program(cmd::program::Args),
    Engine(cmd::engine::Args),
    Members(cmd::members::Args),
    Limits(cmd::limits::Args),
    Timeline(cmd::timeline::Args),
    Check(cmd::check::Args),
    Try(cmd::r#try::Args),
    Load(cmd::load::Args),
    Bench(cmd::bench::Args),
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Gateway(args) => cmd::gateway::run(args, Rc::new(platform::PlatformDialect)),
        Command::Serve(args) => cmd::serve::run(args),
        Command::StandIn(args) => cmd::stand_in::run(args),
        Command::Workspace(args) => cmd::workspace::run(args),
        Command::Program(args) => cmd::program::run(args),
        Command::Engine(args) => cmd::engine::run(args),
        Command::Members(args) => cmd::members::run(args),
        Command::Limits(args) => cmd::limits::run(args),
        Command::Timeline(args) => cmd::timeline::run(args),
        Command::Check(args) => cmd::check::run(args),
        Command::Try(args) => cmd::r#try::run(args),
        Command::Load(args) => cmd::load::run(args),
        Command::Bench(args) => cmd::bench::run(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Standard error may be closed, and a panic would hide the status.
            let _ = writeln!(stderr(), "merlinsaddle: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
