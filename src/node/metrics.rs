//! OpenTelemetry instruments of an instance, exposed in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::core::dispatch::ServiceClass;
use crate::core::ids::Tokens;
use crate::core::outcome::{CallOutcome, TokenUsage};
use crate::util::meter::MeterExposition;

/// Wide enough for both short voice turns and renewals, which take minutes.
const LATENCY_BOUNDARIES_SECONDS: [f64; 14] =
    [0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 300.0, 1800.0];

#[derive(Debug)]
pub(crate) struct NodeMetrics {
    exposition: MeterExposition,
    call_seconds: Histogram<f64>,
    program_seconds: Histogram<f64>,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    prompt_tokens: Counter<u64>,
    cached_tokens: Counter<u64>,
    store_writes: Counter<u64>,
    control_bytes: Counter<u64>,
    budget_drawn: Gauge<u64>,
    budget_spent: Gauge<u64>,
    programs: Gauge<u64>,
    shards: Gauge<u64>,
    processor_seconds: Gauge<f64>,
    store_outage_seconds: Gauge<f64>,
}

/// Gauge values read from the node on each scrape.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeSample {
    pub(crate) drawn: Tokens,
    pub(crate) spent: Tokens,
    pub(crate) programs: u64,
    pub(crate) shards: u64,
    /// Time since the table stopped answering; zero while it answers.
    pub(crate) store_outage: Duration,
}

impl NodeMetrics {
    pub(crate) fn new(instance: &str) -> Self {
        let exposition = MeterExposition::new(instance);
        let meter = exposition.meter("merlinsaddle");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDARIES_SECONDS.to_vec()).build()
        };
        Self {
            exposition,
            call_seconds: histogram("call_seconds"),
            program_seconds: histogram("program_seconds"),
            calls: counter("calls"),
            refusals: counter("refusals"),
            prompt_tokens: counter("prompt_tokens"),
            cached_tokens: counter("cached_tokens"),
            store_writes: counter("store_writes"),
            control_bytes: counter("control_bytes"),
            budget_drawn: meter.u64_gauge("budget_drawn_tokens").build(),
            budget_spent: meter.u64_gauge("budget_spent_tokens").build(),
            programs: meter.u64_gauge("programs").build(),
            shards: meter.u64_gauge("shards").build(),
            processor_seconds: meter.f64_gauge("processor_seconds").build(),
            store_outage_seconds: meter.f64_gauge("store_outage_seconds").build(),
        }
    }

    pub(crate) fn record_call(
        &self,
        class: ServiceClass,
        outcome: &CallOutcome,
        elapsed: Duration,
    ) {
        let class = KeyValue::new("class", class_name(class));
        self.call_seconds.record(elapsed.as_secs_f64(), std::slice::from_ref(&class));
        let name = match outcome {
            CallOutcome::Answered(_) => "answered",
            CallOutcome::NotRun(_) => "not_run",
            CallOutcome::Unknown(_) => "unknown",
        };
        self.calls.add(1, &[class, KeyValue::new("outcome", name)]);
    }

    pub(crate) fn record_program(&self, class: ServiceClass, elapsed: Duration) {
        let class = KeyValue::new("class", class_name(class));
        self.program_seconds.record(elapsed.as_secs_f64(), &[class]);
    }

    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_prompt_tokens(&self, usage: TokenUsage) {
        self.prompt_tokens.add(usage.prompt, &[]);
        self.cached_tokens.add(usage.cached, &[]);
    }

    pub(crate) fn record_store_write(&self) {
        self.store_writes.add(1, &[]);
    }

    pub(crate) fn record_control_bytes(&self, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn sample(&self, sample: NodeSample) {
        self.budget_drawn.record(sample.drawn, &[]);
        self.budget_spent.record(sample.spent, &[]);
        self.programs.record(sample.programs, &[]);
        self.shards.record(sample.shards, &[]);
        self.store_outage_seconds.record(sample.store_outage.as_secs_f64(), &[]);
        if let Some(seconds) = processor_seconds() {
            self.processor_seconds.record(seconds, &[]);
        }
    }

    pub(crate) fn exposition(&self) -> String {
        self.exposition.text()
    }
}

/// CPU time of this process; `None` where the kernel does not provide it.
fn processor_seconds() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    let nanos: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanos / 1e9)
}

fn class_name(class: ServiceClass) -> &'static str {
    match class {
        ServiceClass::Paying => "paying",
        ServiceClass::Trial => "trial",
    }
}
