//! `merlinsaddle gateway`: serves callers of a platform until it is told to stop.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use rand::random;
use tokio::time::{Instant, sleep};

use super::process::{ProcessSignals, bind_once_free, log_failure};
use super::{CmdError, CmdResult, block_on, start_log_to_stdout};
use crate::config::SettingsError;
use crate::gateway::dialect::GatewayDialect;
use crate::gateway::{GatewaySettings, GatewaySockets, launch_gateway};

/// Serve callers of the platform.
///
/// SIGTERM or SIGINT stop it gracefully: callers are no longer sent here, requests under way are
/// finished, then it exits with 0. SIGHUP reads the settings again.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The settings file, JSON.
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

pub fn run(args: Args, dialect: Rc<dyn GatewayDialect>) -> CmdResult {
    if args.check {
        GatewaySettings::load(&args.settings)?;
        println!("{}: the settings are valid", args.settings.display());
        return Ok(());
    }
    block_on(async {
        // Before anything that takes time: until then, SIGHUP ends the process.
        let signals = ProcessSignals::open()?;
        let settings = load_settings(&args.settings).await;
        let instance = settings.as_ref().map_or("-", |settings| &settings.instance);
        let drain = start_log_to_stdout(instance);
        let result = match settings {
            Ok(settings) => serve(&args.settings, settings, signals, dialect).await,
            Err(error) => Err(error.into()),
        };
        log_failure(&result);
        drain.wait(LAST_LINES);
        result
    })
}

/// How long the end of a process waits for its log to be written: a reader that has stopped must not
/// hold it up, and the platform kills it soon after.
const LAST_LINES: Duration = Duration::from_millis(250);

/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_PACE: Duration = Duration::from_secs(2);
/// Limit for a settings file to be written whole.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);
const SETTINGS_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Beyond the grace period of a predecessor that still has the addresses.
const BIND_MARGIN: Duration = Duration::from_secs(2);

/// Loads the settings, which the platform may still be writing.
async fn load_settings(path: &Path) -> Result<GatewaySettings, SettingsError> {
    let deadline = Instant::now() + SETTINGS_TIMEOUT;
    loop {
        match GatewaySettings::load(path) {
            Err(error) if error.is_incomplete() && Instant::now() < deadline => {
                sleep(SETTINGS_RETRY_DELAY).await;
            }
            loaded => return loaded,
        }
    }
}

/// When the file was last written; none while it cannot be seen.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

async fn serve(
    path: &Path,
    mut settings: GatewaySettings,
    mut signals: ProcessSignals,
    dialect: Rc<dyn GatewayDialect>,
) -> CmdResult {
    let limit = settings.grace() + BIND_MARGIN;
    let sockets = tokio::select! {
        sockets = bind_once_free(limit, async || GatewaySockets::open(&mut settings).await) => sockets?,
        () = signals.stopped() => return Ok(()),
    };
    let gateway = launch_gateway(settings, sockets, dialect, random());
    let mut modified = modified_at(path);
    loop {
        tokio::select! {
            is_reload = signals.is_reload() => match is_reload {
                true => gateway.reload(path),
                false => break,
            },
            () = sleep(SETTINGS_PACE) => {
                let now = modified_at(path);
                if now != modified {
                    modified = now;
                    gateway.reload(path);
                }
            }
        }
    }
    if gateway.shut_down().await {
        return Ok(());
    }
    Err(CmdError::StopTimedOut)
}
