//! `merlinsaddle bench`: measures the real code.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Subcommand;

use super::table::{print_json, print_table};
use super::{CmdError, CmdResult};
use crate::bench::policy::{
    BenchTopic, VariantResult, latency_curves, measure, print_recovery, print_results,
    recovery_curves, write_plot,
};
use crate::bench::{
    CoreSlope, MemberDisturbance, MemberReport, MemberScenario, PathReport, PathSettings,
    measure_cores, measure_members, measure_path,
};

/// Curves in a plot of latencies: the first variants of a topic.
const PLOTTED: usize = 8;

/// Measure the real code.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    subject: Subject,
}

#[derive(Debug, Subcommand)]
enum Subject {
    /// What the whole path adds to a call, against the engine called directly.
    Path {
        /// Calls one after the other, for the latencies.
        #[arg(long, default_value_t = 400)]
        calls: usize,
        /// Mean pause before each of them.
        #[arg(long, default_value_t = 0)]
        pause_ms: u64,
        /// Programs at a time, for the throughput.
        #[arg(long, default_value_t = 64)]
        concurrency: usize,
        /// Calls of each of them.
        #[arg(long, default_value_t = 40)]
        calls_each: usize,
        /// Longest answer, in tokens.
        #[arg(long, default_value_t = 32)]
        max_tokens: u32,
        /// Time the engine takes for a token; with 0 all come in one piece.
        #[arg(long, default_value_t = 0)]
        token_micros: u64,
    },
    /// Processor time and memory of the cores as their state grows; docs/CAPACITY.md uses it.
    Cores,
    /// Members and their configuration exchanging messages, with one datagram in a hundred lost and
    /// a change of the configuration each 5 s.
    Members {
        /// Numbers of instances to measure.
        #[arg(long, value_delimiter = ',', default_value = "3,10,30,100,300")]
        nodes: Vec<usize>,
        /// Time measured, after everyone knows everyone.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Compare the policies of one topic; equal arguments print equal figures.
    Policy {
        topic: BenchTopic,
        /// Runs of each policy, with the seeds 1 to this.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Divides engines, load and time, for a quick look.
        #[arg(long, default_value_t = 1)]
        parts: u32,
        /// Also draw paying p95 over the run, or what faults did to it, as SVG into this file.
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

pub fn run(args: Args) -> CmdResult {
    match args.subject {
        Subject::Path { calls, pause_ms, concurrency, calls_each, max_tokens, token_micros } => {
            let pause = Duration::from_millis(pause_ms);
            let settings =
                PathSettings { calls, pause, concurrency, calls_each, max_tokens, token_micros };
            let report =
                measure_path(settings).map_err(|error| CmdError::failed(error.to_string()))?;
            if args.json {
                print_json(&report);
            } else {
                print_path(&report);
            }
        }
        Subject::Policy { topic, seeds, parts, svg } => {
            let results = measure(topic.variants(parts), seeds);
            print_results(&results);
            if topic == BenchTopic::Guards {
                print_recovery(&results);
            }
            if let Some(path) = svg {
                plot_policies(topic, &results, &path)?;
            }
        }
        Subject::Members { nodes, seconds } => {
            let measure = |nodes| {
                measure_members(MemberScenario {
                    nodes,
                    seconds,
                    loss_per_mille: 10,
                    change_interval: Duration::from_secs(5),
                    disturbance: MemberDisturbance::Nothing,
                    seed: 1,
                })
            };
            let reports: Vec<_> = nodes.into_iter().map(measure).collect();
            if args.json {
                print_json(&reports);
            } else {
                print_members(&reports);
            }
        }
        Subject::Cores => {
            let report = measure_cores();
            if args.json {
                print_json(&report);
            } else {
                print_cores(&report.slopes);
            }
        }
    }
    Ok(())
}

fn plot_policies(topic: BenchTopic, results: &[VariantResult], path: &Path) -> CmdResult {
    let written = match topic {
        BenchTopic::Guards => {
            write_plot(path, "paying p95 / p95 without a fault", &recovery_curves(results))
        }
        _ => write_plot(
            path,
            "paying p95, s",
            &latency_curves(&results[..PLOTTED.min(results.len())]),
        ),
    };
    written.map_err(|error| CmdError::failed(error.to_string()))
}

fn print_path(report: &PathReport) {
    let millis = |micros: u64| format!("{:.2}", micros as f64 / 1000.0);
    let rows = [
        ("direct, first token", report.direct_first),
        ("direct, last token", report.direct_last),
        ("path, first token", report.path_first),
        ("path, last token", report.path_last),
        ("path, wait for the commit", report.commit_wait),
    ];
    let rows: Vec<_> = rows
        .iter()
        .map(|(name, pair)| {
            vec![(*name).to_owned(), millis(pair.p50_micros), millis(pair.p95_micros)]
        })
        .collect();
    print_table(&["LATENCY", "P50_MS", "P95_MS"], &rows);
    println!(
        "concurrency={} calls_per_second={:.0} instance_micros_per_call={:.0} \
         writes_per_1000_calls={:.1} writes_per_second={:.1}",
        report.concurrent_calls,
        report.calls_per_second,
        report.instance_micros_per_call,
        report.writes_per_thousand_calls,
        report.writes_per_second
    );
}

fn print_members(reports: &[MemberReport]) {
    let row = |report: &MemberReport| {
        vec![
            report.nodes.to_string(),
            format!("{:.0}", report.bytes_sent + report.bytes_received),
            format!("{:.1}", report.messages_sent),
            format!("{:.0}", report.processor_micros),
            report.memory_bytes.to_string(),
            format!("{:.1}", report.head_reads),
            report.change_spread.as_millis().to_string(),
            report.oldest_proof.as_millis().to_string(),
            report.false_deaths.to_string(),
        ]
    };
    let rows: Vec<_> = reports.iter().map(row).collect();
    let head = [
        "NODES",
        "BYTES_S",
        "MESSAGES_S",
        "MICROS_S",
        "MEMORY",
        "HEAD_READS_S",
        "SPREAD_MS",
        "PROOF_MS",
        "FALSE_DEATHS",
    ];
    print_table(&head, &rows);
}

fn print_cores(slopes: &[CoreSlope]) {
    let row = |slope: &CoreSlope| {
        vec![
            slope.subject.to_string(),
            slope.count.to_string(),
            format!("{:.2}", slope.micros_each),
            format!("{:.0}", slope.bytes_each),
        ]
    };
    let rows: Vec<_> = slopes.iter().map(row).collect();
    print_table(&["SUBJECT", "COUNT", "MICROS_EACH", "BYTES_EACH"], &rows);
}
