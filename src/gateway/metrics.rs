//! What a gateway measures, as OpenTelemetry instruments.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::util::meter::MeterExposition;

/// Upper ends of the latency buckets, in seconds.
const LATENCY_BOUNDARIES: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// One call that has ended.
pub(crate) struct CallSample<'a> {
    pub(crate) route: &'a str,
    pub(crate) outcome: &'static str,
    pub(crate) elapsed: Duration,
    /// Time until the first byte of the body; none if there was none.
    pub(crate) first: Option<Duration>,
    pub(crate) tries: u32,
    /// Time until it was first sent to an upstream; none if it was not.
    pub(crate) sent_after: Option<Duration>,
}

/// What is read off the gateway when its metrics are asked for.
pub(crate) struct GatewaySample {
    pub(crate) members: u64,
    pub(crate) upstreams: u64,
    pub(crate) routes_version: u64,
    pub(crate) cached_bytes: u64,
    pub(crate) open_calls: u64,
    pub(crate) store_calls: u64,
    pub(crate) store_batches: u64,
    pub(crate) store_outage: Duration,
}

/// The instruments of one gateway.
pub(crate) struct GatewayMetrics {
    exposition: MeterExposition,
    calls: Counter<u64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    call_seconds: Histogram<f64>,
    first_byte_seconds: Histogram<f64>,
    added_seconds: Histogram<f64>,
    members: Gauge<u64>,
    upstreams: Gauge<u64>,
    routes_version: Gauge<u64>,
    cached_bytes: Gauge<u64>,
    open_calls: Gauge<u64>,
    store_calls: Gauge<u64>,
    store_batches: Gauge<u64>,
    store_outage_seconds: Gauge<f64>,
}

impl GatewayMetrics {
    pub(crate) fn new(instance: &str) -> Self {
        let exposition = MeterExposition::new(instance);
        let meter = exposition.meter("merlinsaddle-gateway");
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDARIES.to_vec()).build()
        };
        Self {
            exposition,
            calls: meter.u64_counter("gateway_calls").build(),
            retries: meter.u64_counter("gateway_retries").build(),
            refusals: meter.u64_counter("gateway_refusals").build(),
            call_seconds: histogram("gateway_call_seconds"),
            first_byte_seconds: histogram("gateway_first_byte_seconds"),
            added_seconds: histogram("gateway_added_seconds"),
            members: meter.u64_gauge("gateway_members").build(),
            upstreams: meter.u64_gauge("gateway_upstreams").build(),
            routes_version: meter.u64_gauge("gateway_routes_version").build(),
            cached_bytes: meter.u64_gauge("gateway_cached_bytes").build(),
            open_calls: meter.u64_gauge("gateway_open_calls").build(),
            store_calls: meter.u64_gauge("gateway_store_calls").build(),
            store_batches: meter.u64_gauge("gateway_store_batches").build(),
            store_outage_seconds: meter.f64_gauge("gateway_store_outage_seconds").build(),
        }
    }

    pub(crate) fn call_ended(&self, sample: &CallSample<'_>) {
        let route = KeyValue::new("route", sample.route.to_owned());
        let outcome = KeyValue::new("outcome", sample.outcome);
        self.calls.add(1, &[route.clone(), outcome]);
        self.retries.add(sample.tries.saturating_sub(1).into(), std::slice::from_ref(&route));
        self.call_seconds.record(sample.elapsed.as_secs_f64(), std::slice::from_ref(&route));
        if let Some(first) = sample.first {
            self.first_byte_seconds.record(first.as_secs_f64(), std::slice::from_ref(&route));
        }
        if let Some(waited) = sample.sent_after {
            self.added_seconds.record(waited.as_secs_f64(), &[route]);
        }
    }

    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn sample(&self, sample: &GatewaySample) {
        self.members.record(sample.members, &[]);
        self.upstreams.record(sample.upstreams, &[]);
        self.routes_version.record(sample.routes_version, &[]);
        self.cached_bytes.record(sample.cached_bytes, &[]);
        self.open_calls.record(sample.open_calls, &[]);
        self.store_calls.record(sample.store_calls, &[]);
        self.store_batches.record(sample.store_batches, &[]);
        self.store_outage_seconds.record(sample.store_outage.as_secs_f64(), &[]);
    }

    /// All instruments in Prometheus' text format.
    pub(crate) fn exposition(&self) -> String {
        self.exposition.text()
    }
}
