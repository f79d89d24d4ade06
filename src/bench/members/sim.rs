//! The simulated nodes, the clock they count and the datagrams between them.

use std::collections::BTreeMap;
use std::mem::size_of;
use std::time::{Duration, Instant as WallInstant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use super::{MemberDisturbance, MemberReport, MemberScenario};
use crate::core::config::{
    ChangeBody, ConfigChange, ConfigView, HeadSource, WorkspaceSpec, head_source,
};
use crate::core::dispatch::ServiceClass;
use crate::core::ids::InstanceId;
use crate::core::members::{
    GossipMessage, MemberAction, MemberInfo, MemberLoad, MemberSettings, MemberState, MemberTable,
};
use crate::core::timeline::CausalStamp;
use crate::node::peers::encode_gossip;

const TICK: Duration = Duration::from_millis(50);
const HEAD_INTERVAL_TICKS: u64 = 20;
const REJOIN_TICKS: u64 = 40;
const FALLBACK_AGE: Duration = Duration::from_millis(2200);
/// Bytes of UDP and IP round each datagram.
const HEADERS: usize = 28;
/// Bytes of the request and the answer round the changes that one node fetches from another.
const FETCH_OVERHEAD: usize = 400;
/// Nodes of a map and counters beside a member's own fields.
const ENTRY_OVERHEAD: usize = 64;
/// Time allowed for each node's join to reach all others.
const WARM_UP_EACH: Duration = Duration::from_millis(500);
const WARM_UP_LEAST: Duration = Duration::from_secs(90);

struct SimNode {
    members: MemberTable,
    config: ConfigView,
    /// Offset of its timers from those of the others.
    phase: u64,
}

struct Datagram {
    to: usize,
    message: GossipMessage,
}

/// All nodes, what is on its way between them, and the sums of the measurement.
pub(super) struct MemberSim {
    scenario: MemberScenario,
    nodes: Vec<SimNode>,
    addresses: BTreeMap<Box<str>, usize>,
    in_flight: Vec<Datagram>,
    log: Vec<ConfigChange>,
    accepted: Option<Instant>,
    start: Instant,
    tick: u64,
    rng: SmallRng,
    dead: Option<usize>,
    disturbed: Option<Instant>,
    detections: BTreeMap<usize, Instant>,
    bytes_sent: u64,
    bytes_received: u64,
    messages: u64,
    head_reads: u64,
    processor: Duration,
    report: MemberReport,
}

fn member(index: usize) -> MemberInfo {
    let address = |port: u16| format!("10.{}.{}.7:{port}", index / 250, index % 250).into();
    MemberInfo {
        instance: format!("entry-{index:04}").into(),
        incarnation: 1000 + index as u64,
        revision: 0,
        state: MemberState::Alive,
        zone: format!("zone-{:02}", index % 14).into(),
        http_address: address(7000),
        rpc_address: address(7001),
        gossip_address: address(7002),
        load: MemberLoad::default(),
    }
}

impl MemberSim {
    pub(super) fn new(scenario: MemberScenario) -> Self {
        let start = Instant::now();
        let node = |index: usize| SimNode {
            members: MemberTable::new(
                MemberSettings::default(),
                member(index),
                scenario.seed + index as u64,
                start,
            ),
            config: ConfigView::default(),
            phase: index as u64 * 7,
        };
        let address = |index: usize| (member(index).gossip_address, index);
        Self {
            nodes: (0..scenario.nodes).map(node).collect(),
            addresses: (0..scenario.nodes).map(address).collect(),
            in_flight: Vec::new(),
            log: Vec::new(),
            accepted: None,
            start,
            tick: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            dead: None,
            disturbed: None,
            detections: BTreeMap::new(),
            bytes_sent: 0,
            bytes_received: 0,
            messages: 0,
            head_reads: 0,
            processor: Duration::ZERO,
            report: MemberReport {
                nodes: scenario.nodes,
                seconds: scenario.seconds,
                bytes_sent: 0.0,
                bytes_received: 0.0,
                messages_sent: 0.0,
                processor_micros: 0.0,
                memory_bytes: 0,
                head_reads: 0.0,
                join: Duration::ZERO,
                change_spread: Duration::ZERO,
                oldest_proof: Duration::ZERO,
                false_deaths: 0,
                first_detection: Duration::ZERO,
                last_detection: Duration::ZERO,
                recovery: Duration::ZERO,
            },
            scenario,
        }
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick as u32
    }

    fn is_running(&self, node: usize) -> bool {
        if self.dead == Some(node) {
            return false;
        }
        match self.scenario.disturbance {
            MemberDisturbance::Pause(length) => node != 0 || !self.disturbed_for(length),
            _ => true,
        }
    }

    fn disturbed_for(&self, length: Duration) -> bool {
        self.disturbed.is_some_and(|since| self.now() - since < length)
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        let half = self.scenario.nodes / 2;
        match self.scenario.disturbance {
            MemberDisturbance::Split(length) if self.disturbed_for(length) => {
                (from < half) == (to < half)
            }
            MemberDisturbance::OneWayCut if self.disturbed.is_some() => (from, to) != (0, 1),
            _ => true,
        }
    }

    pub(super) fn warm_up(&mut self) {
        while !self.all_know_all() {
            self.step();
            assert!(self.now() - self.start < Duration::from_secs(600), "the members never meet");
        }
        self.report.join = self.now() - self.start;
        let until = self.now() + WARM_UP_LEAST.max(WARM_UP_EACH * self.scenario.nodes as u32);
        while self.now() < until {
            self.step();
        }
        self.report.false_deaths = 0;
        (self.bytes_sent, self.bytes_received, self.messages, self.head_reads) = (0, 0, 0, 0);
        self.processor = Duration::ZERO;
    }

    fn all_know_all(&self) -> bool {
        let alive = |node: &SimNode| {
            node.members.iter().filter(|info| info.state == MemberState::Alive).count()
        };
        self.nodes.iter().all(|node| alive(node) == self.scenario.nodes)
    }

    pub(super) fn measure(&mut self) {
        let (began, length) = (self.now(), Duration::from_secs(self.scenario.seconds));
        let mut next_change = began;
        while self.now() - began < length {
            if self.disturbed.is_none() && self.now() - began >= length / 4 {
                self.disturb();
            }
            if self.now() >= next_change && self.accepted.is_none() {
                self.accept_change();
                next_change += self.scenario.change_interval;
            }
            self.step();
            self.note_progress();
        }
    }

    fn disturb(&mut self) {
        self.disturbed = Some(self.now());
        if self.scenario.disturbance == MemberDisturbance::Death {
            self.dead = Some(0);
        }
    }

    fn accept_change(&mut self) {
        let version = self.log.len() as u64 + 1;
        let spec = WorkspaceSpec {
            id: format!("workspace-{}", version % 50).into(),
            class: ServiceClass::Paying,
            budget: version,
            priority: 1,
            retired: false,
        };
        let body = ChangeBody::Workspace(spec);
        let change = ConfigChange { version, stamp: CausalStamp::default(), body };
        self.log.push(change);
        self.accepted = Some(self.now());
        let acceptor = self.scenario.nodes - 1;
        self.apply_log(acceptor, version);
    }

    /// Brings a node up to a version and lets it tell others.
    fn apply_log(&mut self, node: usize, version: u64) {
        let now = self.now();
        let from = self.nodes[node].config.version() as usize;
        for change in &self.log[from..version as usize] {
            self.nodes[node].config.apply(change);
        }
        let actions = self.nodes[node].members.push_updates(now);
        self.perform(node, actions);
    }

    fn note_progress(&mut self) {
        let now = self.now();
        let head = self.log.len() as u64;
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.is_running(*node)).collect();
        if let Some(accepted) = self.accepted
            && running.iter().all(|node| self.nodes[*node].config.version() == head)
        {
            self.report.change_spread = self.report.change_spread.max(now - accepted);
            self.accepted = None;
        }
        for node in running {
            let age = self.nodes[node].config.age(now).unwrap_or_default();
            self.report.oldest_proof = self.report.oldest_proof.max(age);
        }
        if let Some(disturbed) = self.disturbed
            && self.report.false_deaths > 0
            && !self.all_know_all()
        {
            self.report.recovery = now - disturbed;
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        let arriving = std::mem::take(&mut self.in_flight);
        for datagram in arriving {
            if self.is_running(datagram.to) {
                self.receive(datagram);
            }
        }
        for node in 0..self.nodes.len() {
            if self.is_running(node) {
                self.run_timers(node);
            }
        }
    }

    fn run_timers(&mut self, node: usize) {
        let now = self.now();
        let turn = self.tick + self.nodes[node].phase;
        if turn.is_multiple_of(REJOIN_TICKS) {
            self.rejoin(node);
        }
        if turn.is_multiple_of(HEAD_INTERVAL_TICKS) || self.age(node) >= FALLBACK_AGE {
            self.refresh_head(node);
        }
        let began = WallInstant::now();
        let actions = self.nodes[node].members.tick(now);
        self.processor += began.elapsed();
        self.perform(node, actions);
    }

    /// Asks instances of the roster that are not known or dead; at first only the seeds run.
    fn rejoin(&mut self, node: usize) {
        let table = &self.nodes[node].members;
        let unknown = self.addresses.keys().zip(self.addresses.values());
        let seeds: Vec<Box<str>> = unknown
            .filter(|(_, index)| {
                let known = table.get(&member(**index).instance);
                known.is_none_or(|info| info.state == MemberState::Dead)
            })
            .map(|(address, _)| address.clone())
            .collect();
        let actions = self.nodes[node].members.join(seeds);
        self.perform(node, actions);
    }

    fn age(&self, node: usize) -> Duration {
        self.nodes[node].config.age(self.now()).unwrap_or(Duration::MAX)
    }

    fn refresh_head(&mut self, node: usize) {
        let now = self.now();
        let members = &self.nodes[node].members;
        let names = members.serving().map(|info| &info.instance);
        let source = head_source(&members.me().instance, names);
        match source {
            HeadSource::Member(source) if self.age(node) < FALLBACK_AGE => {
                let actions = self.nodes[node].members.ping(&source, now);
                self.perform(node, actions);
            }
            _ => {
                self.head_reads += 1;
                let head = self.log.len() as u64;
                self.nodes[node].config.observe_head(head, now);
                if self.nodes[node].config.is_behind() {
                    self.apply_log(node, head);
                }
            }
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let (now, to) = (self.now(), datagram.to);
        let message = &datagram.message;
        let began = WallInstant::now();
        let actions = self.nodes[to].members.receive(message, now);
        let asked = actions.iter().find_map(|action| match action {
            MemberAction::Answered(asked) => Some(*asked),
            _ => None,
        });
        let config = &mut self.nodes[to].config;
        if let (Some(asked), Some(age)) = (asked, message.head_age) {
            config.observe_head(message.config_head, asked - age);
        }
        config.raise_head(message.config_head);
        self.processor += began.elapsed();
        if self.nodes[to].config.version() < message.config_head {
            self.fetch(to, message.config_head);
        }
        self.perform(to, actions);
    }

    fn fetch(&mut self, node: usize, version: u64) {
        let missing = &self.log[self.nodes[node].config.version() as usize..version as usize];
        let bytes: usize = missing
            .iter()
            .map(|change| serde_json::to_vec(change).map_or(0, |bytes| bytes.len()))
            .sum();
        self.bytes_sent += (bytes + FETCH_OVERHEAD) as u64;
        self.bytes_received += (bytes + FETCH_OVERHEAD) as u64;
        self.apply_log(node, version);
    }

    fn perform(&mut self, node: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(node, &to, message),
                MemberAction::Changed(info) if info.state == MemberState::Dead => {
                    self.note_death(node, &info.instance);
                }
                MemberAction::Changed(_) | MemberAction::Answered(_) => {}
            }
        }
    }

    fn note_death(&mut self, node: usize, instance: &InstanceId) {
        let died = self.dead.is_some_and(|dead| member(dead).instance == *instance);
        if died {
            let now = self.now();
            self.detections.entry(node).or_insert(now);
        } else {
            self.report.false_deaths += 1;
        }
    }

    fn send(&mut self, from: usize, to: &str, mut message: GossipMessage) {
        let Some(to) = self.addresses.get(to).copied() else { return };
        message.config_head = self.nodes[from].config.version();
        message.head_age = self.nodes[from].config.age(self.now());
        let wall = Duration::from_secs(1_796_000_000) + (self.now() - self.start);
        message.stamp = CausalStamp { wall_micros: wall.as_micros() as u64, counter: 0 };
        let began = WallInstant::now();
        let bytes = (encode_gossip(&message).len() + HEADERS) as u64;
        self.processor += began.elapsed();
        self.messages += 1;
        self.bytes_sent += bytes;
        let lost = self.rng.random_range(0..1000) < self.scenario.loss_per_mille;
        if !lost && self.passes(from, to) {
            self.bytes_received += bytes;
            self.in_flight.push(Datagram { to, message });
        }
    }

    pub(super) fn finish(mut self) -> MemberReport {
        let each = self.scenario.nodes as f64 * self.scenario.seconds as f64;
        self.report.bytes_sent = self.bytes_sent as f64 / each;
        self.report.bytes_received = self.bytes_received as f64 / each;
        self.report.messages_sent = self.messages as f64 / each;
        self.report.processor_micros = self.processor.as_secs_f64() * 1e6 / each;
        self.report.head_reads = self.head_reads as f64 / self.scenario.seconds as f64;
        self.report.memory_bytes = self.memory();
        if let Some(died) = self.disturbed {
            let after = |at: &Instant| *at - died;
            self.report.first_detection =
                self.detections.values().map(after).min().unwrap_or_default();
            self.report.last_detection =
                self.detections.values().map(after).max().unwrap_or_default();
        }
        self.report
    }

    fn memory(&self) -> u64 {
        let texts = |info: &MemberInfo| {
            info.instance.len()
                + info.zone.len()
                + info.http_address.len()
                + info.rpc_address.len()
                + info.gossip_address.len()
        };
        let entry = |info: &MemberInfo| size_of::<MemberInfo>() + ENTRY_OVERHEAD + texts(info);
        let members: usize = self.nodes[0].members.iter().map(entry).sum();
        let changes = self.log.iter().map(|change| {
            size_of::<ConfigChange>() + serde_json::to_vec(change).map_or(0, |bytes| bytes.len())
        });
        (members + changes.sum::<usize>()) as u64
    }
}
