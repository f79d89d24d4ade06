//! `merlinsaddle load`: puts programs on a running deployment and reports what callers saw.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::time::sleep;

use super::table::print_json;
use super::{CmdError, CmdResult, block_on};
use crate::client::{CallReport, CallerClient, ClientCall};
use crate::core::outcome::CallOutcome;
use crate::node::calls::CallTarget;

/// Run programs against a deployment and report latencies and outcomes.
///
/// Each program makes its calls one after the other, with tool pauses between them; `--book-every`
/// makes some of them bookings at a plain service. Retries use the same request id, as any caller's
/// should. Fails if a call was lost or a history is not whole.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// HTTP addresses of any instances.
    #[arg(long, value_delimiter = ',', default_value = "127.0.0.1:7000")]
    addresses: Vec<Box<str>>,
    /// Workspace and definition of the programs.
    workspace: Box<str>,
    definition: Box<str>,
    /// Programs in all.
    #[arg(long, default_value_t = 100)]
    programs: usize,
    /// Programs at a time.
    #[arg(long, default_value_t = 20)]
    concurrency: usize,
    /// Calls of each program.
    #[arg(long, default_value_t = 5)]
    turns: u32,
    /// Longest answer of a model call, in tokens.
    #[arg(long, default_value_t = 40)]
    max_tokens: u32,
    /// Mean tool pause between calls.
    #[arg(long, default_value_t = 200)]
    pause_ms: u64,
    /// Every so many calls is a booking; 0 for none.
    #[arg(long, default_value_t = 0)]
    book_every: u32,
    /// Service of the bookings.
    #[arg(long, default_value = "pharmacy")]
    service: Box<str>,
    /// Longest time one call may take with all its retries.
    #[arg(long, default_value_t = 120)]
    limit_seconds: u64,
    /// Seed of the pauses.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// What the callers saw.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
struct LoadReport {
    programs: usize,
    calls: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    /// Submissions beyond the first of each call.
    retries: u64,
    /// Programs whose history lacks a turn that was answered.
    broken_histories: u64,
    seconds: f64,
    program_p50_ms: u64,
    program_p95_ms: u64,
    call_p50_ms: u64,
    call_p95_ms: u64,
    first_token_p95_ms: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
}

pub fn run(args: Args) -> CmdResult {
    let json = args.json;
    let report = block_on(LoadRun::new(args).run())?;
    if json {
        print_json(&report);
    } else {
        println!(
            "programs={} calls={} answered={} not_run={} unknown={} retries={} \
             broken_histories={} seconds={:.1}",
            report.programs,
            report.calls,
            report.answered,
            report.not_run,
            report.unknown,
            report.retries,
            report.broken_histories,
            report.seconds
        );
        println!(
            "program_p50_ms={} program_p95_ms={} call_p50_ms={} call_p95_ms={} \
             first_token_p95_ms={} prompt_tokens={} cached_tokens={}",
            report.program_p50_ms,
            report.program_p95_ms,
            report.call_p50_ms,
            report.call_p95_ms,
            report.first_token_p95_ms,
            report.prompt_tokens,
            report.cached_tokens
        );
    }
    if report.broken_histories > 0 {
        return Err(CmdError::failed("a history is not whole"));
    }
    Ok(())
}

/// Latencies and counts as they come in.
struct LoadTally {
    report: LoadReport,
    programs: Histogram<u64>,
    calls: Histogram<u64>,
    first_tokens: Histogram<u64>,
}

impl LoadTally {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let report = LoadReport::default();
        Self { report, programs: histogram(), calls: histogram(), first_tokens: histogram() }
    }

    fn add_call(&mut self, call: &CallReport) {
        self.report.calls += 1;
        self.report.retries += u64::from(call.retries);
        record(&mut self.calls, call.total);
        if let Some(first) = call.first_token {
            record(&mut self.first_tokens, first);
        }
        match &call.outcome {
            CallOutcome::Answered(answer) => {
                self.report.answered += 1;
                self.report.prompt_tokens += answer.usage.prompt;
                self.report.cached_tokens += answer.usage.cached;
            }
            CallOutcome::NotRun(_) => self.report.not_run += 1,
            CallOutcome::Unknown(_) => self.report.unknown += 1,
        }
    }

    fn finish(mut self, elapsed: Duration) -> LoadReport {
        self.report.seconds = elapsed.as_secs_f64();
        self.report.program_p50_ms = self.programs.value_at_quantile(0.5);
        self.report.program_p95_ms = self.programs.value_at_quantile(0.95);
        self.report.call_p50_ms = self.calls.value_at_quantile(0.5);
        self.report.call_p95_ms = self.calls.value_at_quantile(0.95);
        self.report.first_token_p95_ms = self.first_tokens.value_at_quantile(0.95);
        self.report
    }
}

fn record(histogram: &mut Histogram<u64>, value: Duration) {
    histogram.record(value.as_millis() as u64).expect("the histogram grows");
}

struct LoadRun {
    args: Args,
}

impl LoadRun {
    fn new(args: Args) -> Self {
        Self { args }
    }

    async fn run(self) -> Result<LoadReport, CmdError> {
        let started = Instant::now();
        let run = Rc::new(self);
        let workers = run.args.concurrency.clamp(1, run.args.programs.max(1));
        let tallies = (0..workers).map(|worker| run.clone().work(worker, workers));
        let tallies = futures_util::future::try_join_all(tallies).await?;
        let mut all = LoadTally::new();
        for tally in tallies {
            all.programs.add(&tally.programs).expect("the histogram grows");
            all.calls.add(&tally.calls).expect("the histogram grows");
            all.first_tokens.add(&tally.first_tokens).expect("the histogram grows");
            add_counts(&mut all.report, &tally.report);
        }
        Ok(all.finish(started.elapsed()))
    }

    /// Runs every `workers`th program, one after the other, as one caller.
    async fn work(self: Rc<Self>, worker: usize, workers: usize) -> Result<LoadTally, CmdError> {
        let client = CallerClient::new(self.args.addresses.clone());
        let mut rng = SmallRng::seed_from_u64(self.args.seed + worker as u64);
        let mut tally = LoadTally::new();
        for index in (worker..self.args.programs).step_by(workers) {
            let started = Instant::now();
            self.run_program(&client, index, &mut rng, &mut tally).await?;
            record(&mut tally.programs, started.elapsed());
            tally.report.programs += 1;
        }
        Ok(tally)
    }

    async fn run_program(
        &self,
        client: &CallerClient,
        index: usize,
        rng: &mut SmallRng,
        tally: &mut LoadTally,
    ) -> Result<(), CmdError> {
        let limit = Duration::from_secs(self.args.limit_seconds);
        let (workspace, definition) = (&self.args.workspace, &self.args.definition);
        let program = client.start_program(workspace, definition, None, limit).await?;
        let mut turns = 0;
        for _ in 0..self.args.turns {
            let call = self.call(index, turns + 1);
            let report = client.call(&program, &call, limit).await?;
            tally.add_call(&report);
            if matches!(report.outcome, CallOutcome::NotRun(_)) {
                break;
            }
            turns += 1;
            let pause = Duration::from_millis(self.args.pause_ms);
            sleep(pause.mul_f64(rng.random_range(0.0..2.0))).await;
        }
        let state = client.show_program(&program, limit).await?;
        if state["turns"].as_array().map(Vec::len) != Some(turns as usize) {
            tally.report.broken_histories += 1;
        }
        client.end_program(&program, limit).await?;
        Ok(())
    }

    fn call(&self, index: usize, number: u32) -> ClientCall {
        let every = self.args.book_every;
        let target = if every > 0 && number.is_multiple_of(every) {
            CallTarget::Service { service: self.args.service.clone(), idempotent: false }
        } else {
            CallTarget::Model { max_tokens: self.args.max_tokens }
        };
        let request_id = format!("call-{number}").into();
        let input = format!("turn {number} of program {index}").into();
        ClientCall { number, request_id, input, target }
    }
}

fn add_counts(all: &mut LoadReport, part: &LoadReport) {
    all.programs += part.programs;
    all.calls += part.calls;
    all.answered += part.answered;
    all.not_run += part.not_run;
    all.unknown += part.unknown;
    all.retries += part.retries;
    all.broken_histories += part.broken_histories;
    all.prompt_tokens += part.prompt_tokens;
    all.cached_tokens += part.cached_tokens;
}
