//! `merlinsaddle serve`: runs one instance until it is told to stop.

use std::path::PathBuf;
use std::time::Duration;

use rand::random;

use super::process::{ProcessSignals, bind_once_free, log_failure};
use super::{CmdError, CmdResult, block_on, start_log};
use crate::config::NodeSettings;
use crate::node::{NodeSockets, launch_node};

/// Limit for addresses that are taken to become free. A predecessor that takes longer to stop is not
/// replaced yet.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Run one instance.
///
/// SIGTERM or SIGINT stop it gracefully: callers are no longer sent here, calls under way are
/// finished, its shards are handed over, then it exits with 0.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The settings file, JSON.
    settings: PathBuf,
    /// Longest time a graceful stop may take, in seconds.
    #[arg(long, default_value_t = 120)]
    drain_seconds: u64,
}

pub fn run(args: Args) -> CmdResult {
    start_log();
    let settings = NodeSettings::load(&args.settings)?;
    let drain = Duration::from_secs(args.drain_seconds);
    let result = block_on(async { serve(settings, drain, ProcessSignals::open()?).await });
    log_failure(&result);
    result
}

async fn serve(
    mut settings: NodeSettings,
    drain: Duration,
    mut signals: ProcessSignals,
) -> CmdResult {
    let bound = bind_once_free(BIND_TIMEOUT, async || NodeSockets::open(&mut settings).await);
    let sockets = tokio::select! {
        sockets = bound => sockets?,
        () = signals.stopped() => return Ok(()),
    };
    let node = tokio::select! {
        node = launch_node(settings, sockets, random()) => node,
        () = signals.stopped() => return Ok(()),
    };
    signals.stopped().await;
    if node.shut_down(drain).await {
        return Ok(());
    }
    Err(CmdError::StopTimedOut)
}
