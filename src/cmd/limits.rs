//! `merlinsaddle limits`: shows the limits of workspaces that a gateway keeps.

use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;

use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on};
use crate::core::quotas::LimitSample;
use crate::gateway::LIMITS_PATH;
use crate::util::http_client::HttpClient;

const PATIENCE: Duration = Duration::from_secs(3);

/// Show the limits of workspaces that an instance keeps for all.
///
/// Each workspace has one instance that counts its requests; ask them all to see every workspace. A
/// deputy answers for a short time where the one that counts is silent.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Peer address of the instance, `IP:port`.
    address: Box<str>,
    /// Only this workspace.
    #[arg(long)]
    workspace: Option<Box<str>>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

pub fn run(args: Args) -> CmdResult {
    let mut limits = block_on(read_limits(&args.address))?;
    limits.retain(|limit| args.workspace.as_ref().is_none_or(|name| *name == limit.workspace));
    if args.json {
        print_json(&limits);
        return Ok(());
    }
    let row = |limit: &LimitSample| {
        vec![
            limit.workspace.to_string(),
            limit.rate.to_string(),
            limit.burst.to_string(),
            format!("{:.1}", limit.level),
            limit.refused.to_string(),
            if limit.is_primary { "chief" } else { "deputy" }.to_owned(),
        ]
    };
    let rows: Vec<_> = limits.iter().map(row).collect();
    print_table(&["WORKSPACE", "PER_SECOND", "BURST", "LEVEL", "REFUSED", "AS"], &rows);
    Ok(())
}

async fn read_limits(address: &str) -> Result<Vec<LimitSample>, CmdError> {
    let client = HttpClient::default();
    let answer = client.exchange(Method::GET, address, LIMITS_PATH, Bytes::new(), PATIENCE).await;
    let failed = |cause: &dyn ToString| {
        CmdError::failed(format!("no limits from {address}: {}", cause.to_string()))
    };
    let answer = answer.map_err(|error| failed(&error))?;
    serde_json::from_slice(&answer).map_err(|error| failed(&error))
}
