//! Metrics of a gateway, as OpenTelemetry instruments.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use super::http::CloseReason;
use super::rows::StoreCallKind;
use crate::core::admission::ProgramDecision;
use crate::core::ids::WorkspaceId;
use crate::core::load::ServicePressure;
use crate::core::routing::ServiceName;
use crate::util::meter::MeterExposition;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDARIES: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Limits the values of the workspace label; further workspaces share `OTHER_WORKSPACES`.
const MAX_WORKSPACES: usize = 200;
const OTHER_WORKSPACES: &str = "others";

const SCOPE: &str = "merlinsaddle-gateway";

fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDARIES.to_vec()).build()
}

fn program_labels(service: &str, priority: u8) -> [KeyValue; 2] {
    [KeyValue::new("service", service.to_owned()), KeyValue::new("priority", i64::from(priority))]
}

/// Direct calls to the store, including those that are relayed for peers.
pub(crate) struct StoreMeter {
    calls: Counter<u64>,
    bytes: Counter<u64>,
    /// Time to the complete response, including the time for which the store holds a long poll.
    call_seconds: Histogram<f64>,
}

impl StoreMeter {
    /// Records the sizes of the request and response bodies.
    pub(crate) fn record_bytes(&self, kind: StoreCallKind, sent: usize, received: usize) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.bytes.add(sent as u64, &[kind.clone(), KeyValue::new("direction", "sent")]);
        self.bytes.add(received as u64, &[kind, KeyValue::new("direction", "got")]);
    }

    pub(crate) fn record_call(
        &self,
        kind: StoreCallKind,
        outcome: &'static str,
        elapsed: Duration,
    ) {
        let kind = KeyValue::new("kind", kind.to_string());
        self.call_seconds.record(elapsed.as_secs_f64(), std::slice::from_ref(&kind));
        self.calls.add(1, &[kind, KeyValue::new("outcome", outcome)]);
    }
}

/// Load datagrams between instances.
pub(crate) struct LoadMeter {
    datagrams: Counter<u64>,
    bytes: Counter<u64>,
}

impl LoadMeter {
    pub(crate) fn record(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("direction", direction)];
        self.datagrams.add(1, &labels);
        self.bytes.add(bytes as u64, &labels);
    }
}

/// Memory that requests were not granted.
pub(crate) struct MemoryMeter {
    refusals: Counter<u64>,
}

impl MemoryMeter {
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Upstreams lost under requests.
pub(crate) struct LossMeter {
    losses: Counter<u64>,
}

impl LossMeter {
    /// `count` is the number of upstreams lost under the same request.
    pub(crate) fn record_loss(&self, service: &str, count: usize) {
        let service = KeyValue::new("service", service.to_owned());
        self.losses.add(1, &[service, KeyValue::new("count", count.to_string())]);
    }
}

/// Load of a service over all instances.
pub(crate) struct ServiceSample {
    pub(crate) service: ServiceName,
    pub(crate) pressure: ServicePressure,
}

pub(crate) struct CallSample<'a> {
    pub(crate) route: &'a str,
    pub(crate) outcome: &'static str,
    pub(crate) elapsed: Duration,
    /// Time to the first byte of the body; none without a body.
    pub(crate) first_byte: Option<Duration>,
    pub(crate) attempts: u32,
    /// Time until it was first sent to an upstream; none if it was never sent.
    pub(crate) sent_after: Option<Duration>,
}

/// Values of the gauges at the time of a scrape.
pub(crate) struct GatewaySample {
    pub(crate) members: u64,
    pub(crate) upstreams: u64,
    pub(crate) upstreams_ejected: u64,
    pub(crate) routes_version: u64,
    /// Time since the routes were last read or confirmed to be current.
    pub(crate) routes_age: Duration,
    pub(crate) cached_bytes: u64,
    pub(crate) open_calls: u64,
    /// Memory held by requests in flight.
    pub(crate) held_bytes: u64,
    pub(crate) held_bytes_bound: u64,
    /// Resident memory of the process.
    pub(crate) resident_bytes: u64,
    /// Turns that hold a token reservation or wait for one.
    pub(crate) reservations: u64,
    pub(crate) store_batches: u64,
    pub(crate) store_outage: Duration,
    /// Age of the counts of the other instances; none without any.
    pub(crate) load_age: Option<Duration>,
    /// Instances whose load is known.
    pub(crate) load_reporters: u64,
    /// Requests under which upstreams were lost.
    pub(crate) loss_records: u64,
    /// Services whose load is known.
    pub(crate) services: Vec<ServiceSample>,
}

pub(crate) struct GatewayMetrics {
    exposition: MeterExposition,
    calls: Counter<u64>,
    retries: Counter<u64>,
    refusals: Counter<u64>,
    stopped: Counter<u64>,
    closes: Counter<u64>,
    unanswered: Counter<u64>,
    withdrawn: Counter<u64>,
    list_age_seconds: Histogram<f64>,
    loss_records: Gauge<u64>,
    call_seconds: Histogram<f64>,
    first_byte_seconds: Histogram<f64>,
    added_seconds: Histogram<f64>,
    members: Gauge<u64>,
    upstreams: Gauge<u64>,
    upstreams_ejected: Gauge<u64>,
    routes_version: Gauge<u64>,
    routes_age_seconds: Gauge<f64>,
    cached_bytes: Gauge<u64>,
    open_calls: Gauge<u64>,
    held_bytes: Gauge<u64>,
    held_bytes_bound: Gauge<u64>,
    resident_bytes: Gauge<u64>,
    reservations: Gauge<u64>,
    reserved: Counter<u64>,
    programs: Counter<u64>,
    admission_fraction: Gauge<f64>,
    admission_setpoint_seconds: Gauge<f64>,
    quota_requests: Counter<u64>,
    /// Time from the arrival of a request until its permit was granted or refused.
    quota_seconds: Histogram<f64>,
    workspaces: RefCell<BTreeSet<WorkspaceId>>,
    store_batches: Gauge<u64>,
    store_outage_seconds: Gauge<f64>,
    load_age_seconds: Gauge<f64>,
    load_reporters: Gauge<u64>,
    service_in_flight: Gauge<u64>,
    service_slots: Gauge<u64>,
    service_wait_seconds: Gauge<f64>,
}

impl GatewayMetrics {
    pub(crate) fn new(instance: &str) -> Self {
        let exposition = MeterExposition::new(instance);
        let meter = exposition.meter(SCOPE);
        let histogram = |name| latency_histogram(&meter, name);
        Self {
            exposition,
            calls: meter.u64_counter("gateway_calls").build(),
            retries: meter.u64_counter("gateway_retries").build(),
            refusals: meter.u64_counter("gateway_refusals").build(),
            stopped: meter.u64_counter("gateway_stopped_requests").build(),
            closes: meter.u64_counter("gateway_closed_connections").build(),
            unanswered: meter.u64_counter("gateway_unanswered_calls").build(),
            withdrawn: meter.u64_counter("gateway_withdrawn_attempts").build(),
            list_age_seconds: histogram("gateway_upstream_list_age_seconds"),
            loss_records: meter.u64_gauge("gateway_loss_records").build(),
            call_seconds: histogram("gateway_call_seconds"),
            first_byte_seconds: histogram("gateway_first_byte_seconds"),
            added_seconds: histogram("gateway_added_seconds"),
            members: meter.u64_gauge("gateway_members").build(),
            upstreams: meter.u64_gauge("gateway_upstreams").build(),
            upstreams_ejected: meter.u64_gauge("gateway_upstreams_aside").build(),
            routes_version: meter.u64_gauge("gateway_routes_version").build(),
            routes_age_seconds: meter.f64_gauge("gateway_routes_age_seconds").build(),
            cached_bytes: meter.u64_gauge("gateway_cached_bytes").build(),
            open_calls: meter.u64_gauge("gateway_open_calls").build(),
            held_bytes: meter.u64_gauge("gateway_held_bytes").build(),
            held_bytes_bound: meter.u64_gauge("gateway_held_bytes_bound").build(),
            resident_bytes: meter.u64_gauge("gateway_resident_bytes").build(),
            reservations: meter.u64_gauge("gateway_open_reservations").build(),
            reserved: meter.u64_counter("gateway_reservations").build(),
            programs: meter.u64_counter("gateway_programs").build(),
            admission_fraction: meter.f64_gauge("gateway_admission_fraction").build(),
            admission_setpoint_seconds: meter
                .f64_gauge("gateway_admission_setpoint_seconds")
                .build(),
            quota_requests: meter.u64_counter("gateway_quota_asks").build(),
            quota_seconds: histogram("gateway_quota_seconds"),
            workspaces: RefCell::default(),
            store_batches: meter.u64_gauge("gateway_store_batches").build(),
            store_outage_seconds: meter.f64_gauge("gateway_store_outage_seconds").build(),
            load_age_seconds: meter.f64_gauge("gateway_load_age_seconds").build(),
            load_reporters: meter.u64_gauge("gateway_load_reporters").build(),
            service_in_flight: meter.u64_gauge("gateway_service_in_flight").build(),
            service_slots: meter.u64_gauge("gateway_service_slots").build(),
            service_wait_seconds: meter.f64_gauge("gateway_service_wait_seconds").build(),
        }
    }

    pub(crate) fn record_call(&self, sample: &CallSample<'_>) {
        let route = KeyValue::new("route", sample.route.to_owned());
        let outcome = KeyValue::new("outcome", sample.outcome);
        self.calls.add(1, &[route.clone(), outcome]);
        self.retries.add(sample.attempts.saturating_sub(1).into(), std::slice::from_ref(&route));
        self.call_seconds.record(sample.elapsed.as_secs_f64(), std::slice::from_ref(&route));
        if let Some(first_byte) = sample.first_byte {
            self.first_byte_seconds.record(first_byte.as_secs_f64(), std::slice::from_ref(&route));
        }
        if let Some(sent_after) = sample.sent_after {
            self.added_seconds.record(sent_after.as_secs_f64(), &[route]);
        }
    }

    /// Records a request that was not sent to the upstream chosen for it, as that has left.
    pub(crate) fn record_withdrawn(&self, service: &str) {
        self.withdrawn.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records the age of the list of upstreams with which a request is sent.
    pub(crate) fn record_list_age(&self, age: Duration) {
        self.list_age_seconds.record(age.as_secs_f64(), &[]);
    }

    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records a request that was not sent, as upstreams were lost under it.
    pub(crate) fn record_stopped(&self, service: &str) {
        self.stopped.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records that a connection of a caller was closed. `unread_input` is true if a request may have
    /// been on its way.
    pub(crate) fn record_close(&self, reason: CloseReason, unread_input: bool) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.closes.add(1, &[reason, KeyValue::new("unread_input", unread_input)]);
    }

    /// Records a call that ended without a whole answer while its caller was there.
    pub(crate) fn record_unanswered(&self, reason: &'static str) {
        self.unanswered.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records whether a new program was admitted.
    pub(crate) fn record_program(&self, service: &str, priority: u8, outcome: &'static str) {
        let [service, priority] = program_labels(service, priority);
        self.programs.add(1, &[service, priority, KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn record_admission(&self, service: &str, priority: u8, decision: &ProgramDecision) {
        let labels = program_labels(service, priority);
        self.admission_fraction.record(decision.admitted_fraction, &labels);
        self.admission_setpoint_seconds.record(decision.setpoint.as_secs_f64(), &labels[..1]);
    }

    pub(crate) fn record_quota(&self, workspace: &str, outcome: &'static str, elapsed: Duration) {
        let workspace = KeyValue::new("workspace", self.workspace_label(workspace));
        self.quota_requests.add(1, &[workspace, KeyValue::new("outcome", outcome)]);
        self.quota_seconds.record(elapsed.as_secs_f64(), &[]);
    }

    fn workspace_label(&self, workspace: &str) -> String {
        let mut workspaces = self.workspaces.borrow_mut();
        let known = workspaces.contains(workspace);
        if !known && workspaces.len() >= MAX_WORKSPACES {
            return OTHER_WORKSPACES.into();
        }
        workspaces.insert(workspace.into());
        workspace.into()
    }

    pub(crate) fn record_reservation(&self, outcome: &'static str) {
        self.reserved.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn store_meter(&self) -> StoreMeter {
        let meter = self.exposition.meter(SCOPE);
        StoreMeter {
            calls: meter.u64_counter("gateway_store_calls").build(),
            bytes: meter.u64_counter("gateway_store_bytes").build(),
            call_seconds: latency_histogram(&meter, "gateway_store_call_seconds"),
        }
    }

    pub(crate) fn memory_meter(&self) -> MemoryMeter {
        let meter = self.exposition.meter(SCOPE);
        MemoryMeter { refusals: meter.u64_counter("gateway_memory_refusals").build() }
    }

    pub(crate) fn loss_meter(&self) -> LossMeter {
        let losses = self.exposition.meter(SCOPE).u64_counter("gateway_lost_upstreams").build();
        LossMeter { losses }
    }

    pub(crate) fn load_meter(&self) -> LoadMeter {
        let meter = self.exposition.meter(SCOPE);
        LoadMeter {
            datagrams: meter.u64_counter("gateway_load_datagrams").build(),
            bytes: meter.u64_counter("gateway_load_bytes").build(),
        }
    }

    pub(crate) fn sample(&self, sample: &GatewaySample) {
        self.members.record(sample.members, &[]);
        self.upstreams.record(sample.upstreams, &[]);
        self.upstreams_ejected.record(sample.upstreams_ejected, &[]);
        self.routes_version.record(sample.routes_version, &[]);
        self.routes_age_seconds.record(sample.routes_age.as_secs_f64(), &[]);
        self.cached_bytes.record(sample.cached_bytes, &[]);
        self.open_calls.record(sample.open_calls, &[]);
        self.held_bytes.record(sample.held_bytes, &[]);
        self.held_bytes_bound.record(sample.held_bytes_bound, &[]);
        self.resident_bytes.record(sample.resident_bytes, &[]);
        self.reservations.record(sample.reservations, &[]);
        self.store_batches.record(sample.store_batches, &[]);
        self.store_outage_seconds.record(sample.store_outage.as_secs_f64(), &[]);
        if let Some(age) = sample.load_age {
            self.load_age_seconds.record(age.as_secs_f64(), &[]);
        }
        self.load_reporters.record(sample.load_reporters, &[]);
        self.loss_records.record(sample.loss_records, &[]);
        for ServiceSample { service, pressure } in &sample.services {
            let label = [KeyValue::new("service", service.to_string())];
            self.service_in_flight.record(pressure.running.into(), &label);
            self.service_slots.record(pressure.slots.into(), &label);
            self.service_wait_seconds.record(pressure.wait.as_secs_f64(), &label);
        }
    }

    /// Renders all instruments in the Prometheus text format.
    pub(crate) fn exposition(&self) -> String {
        self.exposition.text()
    }
}
