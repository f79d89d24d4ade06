//! `merlinsaddle stand-in`: takes the place of the platform or of an upstream in tests.

use std::path::PathBuf;

use clap::Subcommand;
use tokio::net::TcpListener;

use super::{CmdError, CmdResult, block_on, start_log};
use crate::node::platform::RosterEntry;
use crate::standin::{
    EngineSettings, ServiceSettings, StandinEngine, StandinPlatform, StandinService, serve_engine,
    serve_platform, serve_service,
};

/// Run a stand-in for the platform or an upstream.
///
/// `POST /faults` sets its delay, outage, lost replies and silence.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// Table, objects and roster.
    Platform {
        /// Address to listen on.
        address: Box<str>,
        /// JSON file with the roster's entries.
        #[arg(long)]
        roster: Option<PathBuf>,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        address: Box<str>,
        /// JSON file with slots, cache and speed.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        address: Box<str>,
        /// Time an execution takes.
        #[arg(long, default_value_t = 20)]
        work_ms: u64,
    },
}

pub fn run(args: Args) -> CmdResult {
    start_log();
    block_on(serve(args.kind))
}

async fn serve(kind: Kind) -> CmdResult {
    match kind {
        Kind::Platform { address, roster } => {
            let roster: Vec<RosterEntry> = read_json(roster)?;
            let listener = TcpListener::bind(&*address).await?;
            serve_platform(StandinPlatform::new(roster), listener).await;
        }
        Kind::Engine { address, settings } => {
            let settings: EngineSettings = read_json(settings)?;
            let listener = TcpListener::bind(&*address).await?;
            serve_engine(StandinEngine::new(settings), listener).await;
        }
        Kind::Service { address, work_ms } => {
            let listener = TcpListener::bind(&*address).await?;
            serve_service(StandinService::new(ServiceSettings { work_ms }), listener).await;
        }
    }
    Ok(())
}

fn read_json<T: Default + for<'de> serde::Deserialize<'de>>(
    path: Option<PathBuf>,
) -> Result<T, CmdError> {
    let Some(path) = path else { return Ok(T::default()) };
    let text = std::fs::read_to_string(&path)?;
    serde_json::from_str(&text)
        .map_err(|error| CmdError::failed(format!("{}: {error}", path.display())))
}
