//! `merlinsaddle try`: the main job with everything embedded in one process.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::timeline::event_line;
use super::{CmdError, CmdResult, block_on};
use crate::client::{CallerClient, ClientCall};
use crate::config::NodeSettings;
use crate::core::config::{ChangeBody, DefinitionSpec, WorkspaceSpec};
use crate::core::dispatch::ServiceClass;
use crate::core::ids::Tokens;
use crate::core::outcome::{CallOutcome, TokenUsage};
use crate::core::timeline::merge_events;
use crate::node::calls::CallTarget;
use crate::node::operators::OperatorClient;
use crate::node::platform::{RosterEntry, RosterRole};
use crate::node::{Node, NodeSockets, launch_node};
use crate::standin::{
    EngineSettings, ServiceSettings, StandinEngine, StandinPlatform, StandinService, serve_engine,
    serve_platform, serve_service,
};

/// Run the main job with everything it needs in this process.
///
/// Three instances, two engines, a service, a paying and a trial workspace, and programs with tool
/// pauses and a booking each. Fails if a promise broke.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Programs in each workspace.
    #[arg(long, default_value_t = 4)]
    programs: usize,
}

const INSTANCES: usize = 3;
const ENGINES: usize = 2;
const BUDGET: Tokens = 200_000;
const MODEL: &str = "dialogue";
const SERVICE: &str = "pharmacy";
const LIMIT: Duration = Duration::from_secs(30);
/// Within this the engines must hold nothing for ended programs.
const RELEASE_LIMIT: Duration = Duration::from_secs(15);

pub fn run(args: Args) -> CmdResult {
    block_on(async {
        let demo = Demo::start().await?;
        let reports = demo.run_programs(args.programs).await?;
        demo.finish(&reports).await
    })
}

/// The embedded deployment.
struct Demo {
    platform: Rc<StandinPlatform>,
    engines: Vec<Rc<StandinEngine>>,
    service: Rc<StandinService>,
    nodes: Vec<Rc<Node>>,
    seeds: Vec<Box<str>>,
}

/// What one program did.
#[derive(Debug, Clone)]
struct ProgramReport {
    latency: Duration,
    usage: TokenUsage,
    /// Prompt tokens computed again although an engine had computed them for this program.
    wasted: Tokens,
    faults: Vec<String>,
}

impl Demo {
    async fn start() -> Result<Self, CmdError> {
        let platform = StandinPlatform::new(Vec::new());
        let platform_address = serve(|listener| serve_platform(platform.clone(), listener)).await?;
        let mut roster = Vec::new();
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            let engine = StandinEngine::new(EngineSettings::default());
            let address = serve(|listener| serve_engine(engine.clone(), listener)).await?;
            roster.push(entry(&format!("engine-{index}"), RosterRole::Engine, MODEL, address));
            engines.push(engine);
        }
        let service = StandinService::new(ServiceSettings { work_ms: 20 });
        let address = serve(|listener| serve_service(service.clone(), listener)).await?;
        roster.push(entry("pharmacy-0", RosterRole::Service, SERVICE, address));
        let mut opened = Vec::new();
        for index in 0..INSTANCES {
            let mut settings = settings(index, &platform_address)?;
            let sockets = NodeSockets::open(&mut settings).await?;
            let address = settings.gossip_address.clone();
            roster.push(entry(&settings.instance, RosterRole::Instance, "", address));
            opened.push((settings, sockets));
        }
        platform.set_roster(roster);
        let mut seeds = Vec::new();
        let mut nodes = Vec::new();
        for (seed, (settings, sockets)) in (1..).zip(opened) {
            seeds.push(settings.http_address.clone());
            nodes.push(launch_node(settings, sockets, seed).await);
        }
        let demo = Self { platform, engines, service, nodes, seeds };
        demo.wait_settled().await?;
        demo.configure().await?;
        Ok(demo)
    }

    async fn wait_settled(&self) -> CmdResult {
        let end = Instant::now() + LIMIT;
        while self.nodes.iter().any(|node| node.serving_shards().is_empty()) {
            if Instant::now() >= end {
                return Err(CmdError::failed("the instances did not share the shards in time"));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Creates the workspaces through the operators' interface.
    async fn configure(&self) -> CmdResult {
        let address = self.nodes[0].member_list()[0].rpc_address.clone();
        let client = OperatorClient::connect(&address).await?;
        for (id, class) in [("studio", ServiceClass::Paying), ("visitors", ServiceClass::Trial)] {
            let spec = WorkspaceSpec {
                id: id.into(),
                class,
                budget: BUDGET,
                priority: 100,
                retired: false,
            };
            client.change(&ChangeBody::Workspace(spec), 0).await?;
            let spec = DefinitionSpec {
                name: "cook".into(),
                workspace: id.into(),
                model: MODEL.into(),
                shared_prefix: "You answer cooking questions in one short sentence.".into(),
                max_turns: 50,
                max_tokens: 100_000,
                idle_limit: Duration::from_secs(600),
                retired: false,
            };
            client.change(&ChangeBody::Definition(spec), 0).await?;
        }
        sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    async fn run_programs(&self, count: usize) -> Result<Vec<ProgramReport>, CmdError> {
        let mut running = Vec::new();
        for workspace in ["studio", "visitors"] {
            for index in 0..count {
                let client = CallerClient::new(self.seeds.clone());
                running.push(run_program(client, workspace, index));
            }
        }
        futures_util::future::try_join_all(running).await
    }

    async fn finish(&self, reports: &[ProgramReport]) -> CmdResult {
        let mut faults: Vec<String> =
            reports.iter().flat_map(|report| report.faults.clone()).collect();
        let end = Instant::now() + RELEASE_LIMIT;
        while self.engines.iter().any(|engine| !engine.held().is_empty()) {
            if Instant::now() >= end {
                faults.push("an engine still holds memory for an ended program".to_owned());
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let executions = self.service.executions();
        if executions.len() != reports.len() || executions.values().any(|count| *count != 1) {
            faults.push(format!("bookings ran other than once each: {executions:?}"));
        }
        let mut billed: BTreeMap<Box<str>, Tokens> = BTreeMap::new();
        for engine in &self.engines {
            for (workspace, tokens) in engine.billed() {
                *billed.entry(workspace).or_default() += tokens;
            }
        }
        if billed.values().any(|tokens| *tokens > BUDGET) {
            faults.push(format!("a budget of {BUDGET} was overspent: {billed:?}"));
        }
        self.print_timeline();
        self.print_figures(reports, &billed);
        if faults.is_empty() {
            return Ok(());
        }
        Err(CmdError::failed(faults.join("; ")))
    }

    fn print_timeline(&self) {
        let batches = self.nodes.iter().map(|node| node.events_since(0));
        for event in merge_events(batches) {
            println!("{}", event_line(&event));
        }
    }

    fn print_figures(&self, reports: &[ProgramReport], billed: &BTreeMap<Box<str>, Tokens>) {
        let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
        let mut usage = TokenUsage::default();
        for report in reports {
            latencies.record(report.latency.as_millis() as u64).expect("the histogram grows");
            usage.prompt += report.usage.prompt;
            usage.cached += report.usage.cached;
        }
        let whole = reports.iter().filter(|report| report.faults.is_empty()).count();
        let left: Vec<String> = billed
            .iter()
            .map(|(workspace, spent)| format!("{workspace}:{}", BUDGET.saturating_sub(*spent)))
            .collect();
        println!(
            "programs={} histories_whole={whole} budget_left={} program_p50_ms={} \
             program_p95_ms={} prompt_tokens={} cached_tokens={} wasted_tokens={} store_writes={}",
            reports.len(),
            left.join(","),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.95),
            usage.prompt,
            usage.cached,
            reports.iter().map(|report| report.wasted).sum::<Tokens>(),
            self.platform.writes()
        );
    }
}

async fn serve<F>(start: impl FnOnce(TcpListener) -> F) -> Result<Box<str>, CmdError>
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    actix_rt::spawn(start(listener));
    Ok(address.into())
}

fn entry(id: &str, role: RosterRole, group: &str, address: Box<str>) -> RosterEntry {
    RosterEntry { id: id.into(), role, group: group.into(), address, leaving: false }
}

fn settings(index: usize, platform: &str) -> Result<NodeSettings, CmdError> {
    let text = serde_json::json!({
        "instance": format!("instance-{index}"),
        "zone": format!("zone-{index}"),
        "http_address": "127.0.0.1:0",
        "rpc_address": "127.0.0.1:0",
        "gossip_address": "127.0.0.1:0",
        "platform_address": platform,
        "shards": 64,
        "models": [{
            "model": MODEL, "slots": 8, "cache_tokens": 200_000,
            "prefill_micros_per_token": 50, "min_bytes_per_token": 4,
        }],
        "services": [{ "service": SERVICE, "timeout_ms": 3000 }],
    });
    Ok(NodeSettings::parse(&text.to_string())?)
}

/// One program: a question, a booking after a pause, a second question.
async fn run_program(
    client: CallerClient,
    workspace: &str,
    index: usize,
) -> Result<ProgramReport, CmdError> {
    let started = Instant::now();
    let key: Box<str> = format!("{workspace}-{index}").into();
    let program = client.start_program(workspace, "cook", Some(key), LIMIT).await?;
    let mut report = ProgramReport {
        latency: Duration::ZERO,
        usage: TokenUsage::default(),
        wasted: 0,
        faults: Vec::new(),
    };
    let model = CallTarget::Model { max_tokens: 40 };
    let booking = CallTarget::Service { service: SERVICE.into(), idempotent: false };
    let calls = [
        ("How long do lentils cook?", model.clone()),
        ("Book a delivery of salt.", booking),
        ("And how much water?", model),
    ];
    let mut computed = 0;
    for (number, (input, target)) in (1..).zip(calls) {
        let request_id = format!("call-{number}").into();
        let call = ClientCall { number, request_id, input: input.into(), target };
        let done = client.call(&program, &call, LIMIT).await?;
        match &done.outcome {
            CallOutcome::Answered(answer) => {
                let usage = answer.usage;
                report.usage.prompt += usage.prompt;
                report.usage.cached += usage.cached;
                report.wasted += computed.min(usage.prompt).saturating_sub(usage.cached);
                computed = computed.max(usage.billed());
                if answer.text != done.streamed {
                    report.faults.push(format!("{program}: call {number} was streamed in part"));
                }
            }
            other => report.faults.push(format!("{program}: call {number} ended as {other:?}")),
        }
        // A tool of the caller's own.
        sleep(Duration::from_millis(150)).await;
    }
    let state = client.show_program(&program, LIMIT).await?;
    if state["turns"].as_array().map(Vec::len) != Some(3) {
        report.faults.push(format!("{program}: the history is not whole"));
    }
    client.end_program(&program, LIMIT).await?;
    report.latency = started.elapsed();
    Ok(report)
}
