//! `merlinsaddle timeline`: the events of all instances in causal order.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::table::print_json;
use super::target::TargetArgs;
use super::{CmdError, CmdResult, block_on};
use crate::core::timeline::{LogLine, TimelineEvent, merge_events, select_timeline};
use crate::node::operators::{ClientError, OperatorClient};

/// Show what happened on all instances, causes before effects.
///
/// With --logs, tell one request's or program's story from the log files of gateways.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Log files of gateways, one or more.
    #[arg(long, num_args = 1.., requires = "story")]
    logs: Vec<PathBuf>,
    /// The request, turn, program or fingerprint whose story the logs tell.
    #[arg(long, requires = "logs")]
    story: Option<Box<str>>,
    #[command(flatten)]
    target: TargetArgs,
    /// Only events of this program.
    #[arg(long)]
    program: Option<Box<str>>,
    /// Only events of this workspace.
    #[arg(long)]
    workspace: Option<Box<str>>,
    /// Only events of this upstream.
    #[arg(long)]
    upstream: Option<Box<str>>,
    /// Only events of the last so many seconds.
    #[arg(long)]
    last_seconds: Option<u64>,
}

pub fn run(args: Args) -> CmdResult {
    if let Some(id) = &args.story {
        return print_story(&args.logs, id);
    }
    let mut events = block_on(collect(&args))?;
    events.retain(|event| wanted(&args, event));
    if args.target.json {
        print_json(&events);
        return Ok(());
    }
    for event in &events {
        println!("{}", event_line(event));
    }
    Ok(())
}

fn print_story(files: &[PathBuf], id: &str) -> CmdResult {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| CmdError::failed(format!("{}: {error}", file.display())))?;
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    let story = select_timeline(lines, id);
    if story.is_empty() {
        return Err(CmdError::failed(format!("no line names '{id}'")));
    }
    for line in story {
        println!("{}", line.text);
    }
    Ok(())
}

async fn collect(args: &Args) -> Result<Vec<TimelineEvent>, ClientError> {
    let after = args.last_seconds.map_or(0, |seconds| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        now.saturating_sub(Duration::from_secs(seconds)).as_micros() as u64
    });
    let client = args.target.connect().await?;
    let mut batches = Vec::new();
    for member in client.members().await? {
        if &*member.state == "dead" {
            continue;
        }
        let asked =
            async { OperatorClient::connect(&member.rpc_address).await?.timeline(after).await };
        match asked.await {
            Ok(events) => batches.push(events),
            Err(error) => eprintln!("{}: {error}", member.instance),
        }
    }
    Ok(merge_events(batches))
}

fn wanted(args: &Args, event: &TimelineEvent) -> bool {
    let fits = |filter: &Option<Box<str>>, value: &str| {
        filter.as_deref().is_none_or(|filter| filter == value)
    };
    fits(&args.program, &event.program)
        && fits(&args.workspace, &event.workspace)
        && fits(&args.upstream, &event.upstream)
}

/// One event as a line for people.
pub(crate) fn event_line(event: &TimelineEvent) -> String {
    let seconds = event.stamp.wall_micros / 1_000_000 % 86_400;
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    let millis = event.stamp.wall_micros / 1000 % 1000;
    let mut line = format!(
        "{hours:02}:{minutes:02}:{:02}.{millis:03}  {:<10} {:<20}",
        seconds % 60,
        event.instance,
        event.kind
    );
    event.fmt_subjects(&mut line).expect("a string takes any text");
    line
}
