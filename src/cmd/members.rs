//! `merlinsaddle members`: lists the instances as one of them sees them.

use super::table::{print_json, print_table};
use super::target::TargetArgs;
use super::{CmdResult, block_on};
use crate::node::operators::MemberLine;

/// List the instances.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    target: TargetArgs,
}

pub fn run(args: Args) -> CmdResult {
    let members = block_on(async {
        let client = args.target.connect().await?;
        client.members().await
    })?;
    if args.target.json {
        print_json(&members);
        return Ok(());
    }
    let row = |member: &MemberLine| {
        vec![
            member.instance.to_string(),
            member.zone.to_string(),
            member.state.to_string(),
            member.shards.to_string(),
            member.incarnation.to_string(),
            member.http_address.to_string(),
            member.rpc_address.to_string(),
        ]
    };
    let rows: Vec<_> = members.iter().map(row).collect();
    let head = ["INSTANCE", "ZONE", "STATE", "SHARDS", "INCARNATION", "HTTP", "RPC"];
    print_table(&head, &rows);
    Ok(())
}
