//! `merlinsaddle check`: reads settings as `serve` would and says what is wrong with them.

use std::path::PathBuf;

use super::CmdResult;
use crate::config::NodeSettings;

/// Check a settings file without starting anything.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The settings file, JSON.
    settings: PathBuf,
}

pub fn run(args: Args) -> CmdResult {
    let settings = NodeSettings::load(&args.settings)?;
    println!("{}: valid settings of instance {}", args.settings.display(), settings.instance);
    Ok(())
}
