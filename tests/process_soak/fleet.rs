//! The processes, restarted when they end, and a record of all that disturbed them.

use super::pressure::take_address;
use super::*;

const GOSSIP_PORT: u16 = 7380;
const GRACE: Duration = Duration::from_secs(8);
const MEMORY_MB: u64 = 130;
const MAX_SEEDS: usize = 3;
const LAST_LINES: usize = 20;
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(10);
/// How long a process or the deployment counts as disturbed after the end of a disturbance.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Signals, and what happens around the processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "UPPERCASE")]
pub enum Disturbance {
    Kill,
    Stop,
    Term,
    Hup,
    /// Between callers and the process.
    Link,
    StoreLink,
    Store,
    EngineCrash,
    EngineSpoil,
    EngineLink,
}

impl Disturbance {
    fn is_planned(self) -> bool {
        matches!(self, Self::Term | Self::Hup)
    }

    fn is_signal(self) -> bool {
        self.is_planned() || matches!(self, Self::Kill | Self::Stop)
    }
}

struct DisturbanceRecord {
    kind: Disturbance,
    /// None if it concerns all.
    process: Option<usize>,
    from: Instant,
    until: Option<Instant>,
}

impl DisturbanceRecord {
    fn is_of(&self, kind: Disturbance, process: usize) -> bool {
        (self.kind, self.process) == (kind, Some(process))
    }

    fn lasts_since(&self, from: Instant) -> bool {
        self.until.is_none_or(|end| end >= from)
    }
}

pub struct FleetMember {
    pub callers: String,
    pub directory: String,
    /// Between callers and the process, for some.
    pub link: Option<Rc<TcpLink>>,
    pub store_link: Rc<TcpLink>,
    /// Of the store, for this instance only.
    pub store_fault: Rc<Cell<StoreFault>>,
    settings: Value,
    /// None before a spare joins.
    process: RefCell<Option<GatewayProcess>>,
    started: Cell<Instant>,
    is_up: Cell<bool>,
    is_removed: Cell<bool>,
    earlier: RefCell<Vec<GatewayProcess>>,
    rng: RefCell<SmallRng>,
}

pub struct Fleet {
    pub members: Vec<FleetMember>,
    records: RefCell<Vec<DisturbanceRecord>>,
}

impl Fleet {
    pub async fn start(settings: &SoakSettings, store: &StandinStore) -> Self {
        let (shape, count) = (settings.shape, settings.processes);
        let ips: Vec<String> = (0..count + shape.spares()).map(|_| own_ip()).collect();
        let seeds: Vec<String> =
            ips[..count].iter().take(MAX_SEEDS).map(|ip| format!("{ip}:8144")).collect();
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut members = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let mut rng = settings.rng("member", number);
            let (store, store_fault) = store.start_with_fault("127.0.0.1").await;
            let store_link = TcpLink::start(&store).await;
            let (callers, directory) = (format!("{ip}:8149"), format!("{ip}:8143"));
            let own = json!({
                "zone": shape.zone(number, count), "region": shape.region(),
                "caller_address": callers, "directory_address": directory,
                "peer_address": format!("{ip}:8144"), "ready_address": format!("{ip}:8141"),
                "grace_seconds": GRACE.as_secs(),
                "address_keep_seconds": shape.address_ttl_seconds(), "memory_mb": MEMORY_MB,
            });
            let settings = gateway_settings(ip, &store_link.address, GOSSIP_PORT, &seeds, &own);
            let has_link = rng.random_bool(0.5);
            let member = FleetMember {
                link: if has_link { Some(TcpLink::start(&callers).await) } else { None },
                process: RefCell::default(),
                started: Instant::now().into(),
                callers,
                directory,
                store_link,
                store_fault,
                settings,
                is_up: Cell::default(),
                is_removed: Cell::default(),
                earlier: RefCell::default(),
                rng: rng.into(),
            };
            if number < count {
                member.start();
            }
            members.push(member);
        }
        let is_ready = |member: &FleetMember| member.logs().contains("event=ready");
        let are_ready = async || members[..count].iter().all(is_ready);
        wait_until("all are ready", are_ready).await;
        Self { members, records: RefCell::default() }
    }

    /// The instances that callers may ask for addresses.
    pub fn listed(&self) -> Vec<&FleetMember> {
        self.members.iter().filter(|member| member.is_listed()).collect()
    }

    /// Ends an instance for good; a new one joins at another address, while there are spares.
    pub fn replace(&self, process: usize, kind: Disturbance) {
        let spare = self.members.iter().find(|m| m.process.borrow().is_none());
        let (true, Some(spare)) = (self.members[process].is_listed(), spare) else { return };
        self.members[process].is_removed.set(true);
        self.signal(process, kind);
        spare.start();
    }

    pub fn ip(&self, process: usize) -> &str {
        self.members[process].ip()
    }

    /// How often a process was started.
    pub fn starts(&self, process: usize) -> usize {
        let member = &self.members[process];
        member.earlier.borrow().len() + usize::from(member.process.borrow().is_some())
    }

    pub fn begin(&self, kind: Disturbance, process: Option<usize>) {
        let from = Instant::now();
        self.records.borrow_mut().push(DisturbanceRecord { kind, process, from, until: None });
    }

    pub fn end(&self, kind: Disturbance, process: Option<usize>) {
        for record in self.records.borrow_mut().iter_mut() {
            if (record.kind, record.process, record.until) == (kind, process, None) {
                record.until = Some(Instant::now());
            }
        }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, process: usize, kind: Disturbance) {
        let member = &self.members[process];
        if member.is_up.get() {
            self.begin(kind, Some(process));
            member.send(&format!("-{kind}"));
        }
        if kind == Disturbance::Hup {
            self.end(kind, Some(process));
        }
    }

    pub fn resume(&self, process: usize) {
        if self.members[process].is_up.get() {
            self.members[process].send("-CONT");
        }
        self.end(Disturbance::Stop, Some(process));
    }

    fn has(&self, condition: impl Fn(&DisturbanceRecord) -> bool) -> bool {
        self.records.borrow().iter().any(condition)
    }

    /// What was done to a process while it had a request, or shortly before.
    pub fn standing(&self, request: &SentRequest) -> &'static str {
        let has = |kind, from| {
            self.has(|record| record.is_of(kind, request.process) && record.lasts_since(from))
        };
        let before = request.sent - AFTERMATH;
        match () {
            () if has(Disturbance::Kill, request.opened) => "killed",
            () if has(Disturbance::Stop, before) || has(Disturbance::Link, before) => "disturbed",
            () if has(Disturbance::Term, request.opened) => "planned",
            () if has(Disturbance::Hup, before) => "reloaded",
            () => "calm",
        }
    }

    /// True if nothing kept the process from its work when the request came and for a while before.
    pub fn is_in_touch(&self, request: &SentRequest) -> bool {
        let before = request.sent - AFTERMATH;
        let kinds = [Disturbance::Kill, Disturbance::Stop, Disturbance::Term];
        let links = [Disturbance::Link, Disturbance::StoreLink];
        let is_disturbed = |kind: &Disturbance| {
            self.has(|record| record.is_of(*kind, request.process) && record.lasts_since(before))
        };
        self.members[request.process].started.get() < before
            && !kinds.iter().chain(&links).any(is_disturbed)
    }

    /// True if there was an unplanned disturbance anywhere.
    pub fn was_disturbed(&self, request: &SentRequest) -> bool {
        let before = request.sent - AFTERMATH;
        self.has(|record| !record.kind.is_planned() && record.lasts_since(before))
    }

    /// The last signal to a process and, while it stops, the time since it was told to.
    pub fn last_signal(&self, process: usize) -> String {
        let records = self.records.borrow();
        let is_own = |r: &&DisturbanceRecord| r.kind.is_signal() && r.process == Some(process);
        let last = records.iter().rfind(is_own);
        let stop = records
            .iter()
            .filter(is_own)
            .find(|r| r.kind == Disturbance::Term && r.until.is_none());
        let text = |r: Option<&DisturbanceRecord>| {
            r.map_or("none".into(), |r| {
                format!("{}+{:.3}s", r.kind, r.from.elapsed().as_secs_f64())
            })
        };
        format!("signal={} stop={}", text(last), text(stop))
    }

    /// The logs of all processes.
    pub fn logs(&self) -> String {
        self.members.iter().map(FleetMember::logs).collect()
    }
}

impl FleetMember {
    fn logs(&self) -> String {
        let earlier: String = self.earlier.borrow().iter().map(GatewayProcess::log).collect();
        earlier + &self.process.borrow().as_ref().map(GatewayProcess::log).unwrap_or_default()
    }

    fn ip(&self) -> &str {
        self.callers.split(':').next().unwrap_or_default()
    }

    /// The last lines of its log, to tell why it ended.
    fn last_lines(&self) -> String {
        let logs = self.logs();
        let lines: Vec<&str> = logs.lines().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].join("\n    ")
    }

    fn resident_megabytes(&self) -> u64 {
        let process = self.process.borrow();
        process.as_ref().map_or(0, |process| process.resident_memory() / (1024 * 1024))
    }

    fn is_listed(&self) -> bool {
        self.process.borrow().is_some() && !self.is_removed.get()
    }

    fn send(&self, signal: &str) {
        self.process.borrow().as_ref().expect("it was started").signal(signal);
    }

    fn start(&self) {
        let ip = self.ip();
        self.earlier.borrow_mut().extend(self.process.take());
        let name = format!("soak-{ip}-{}", self.earlier.borrow().len());
        self.process.replace(Some(GatewayProcess::spawn(&name, &self.settings)));
        self.started.set(Instant::now());
        self.is_up.set(true);
    }
}

/// Kills processes that do not stop within the grace period and restarts those that have ended.
pub async fn supervise(world: Rc<SoakWorld>) {
    let fleet = &world.fleet;
    while !world.is_over.get() {
        sleep(SUPERVISION_INTERVAL).await;
        for (number, member) in fleet.members.iter().enumerate().filter(|(_, m)| m.is_up.get()) {
            let has = |kind, age| {
                let is_open = |r: &DisturbanceRecord| r.until.is_none() && r.from.elapsed() >= age;
                fleet.has(|record| record.is_of(kind, number) && is_open(record))
            };
            let is_killed = has(Disturbance::Kill, Duration::ZERO);
            let ended = member.process.borrow_mut().as_mut().and_then(GatewayProcess::try_end);
            let Some(status) = ended else {
                let megabytes = member.resident_megabytes();
                world.ledger.observe_memory(megabytes);
                if megabytes > MEMORY_MB {
                    let text = format!("megabytes={megabytes} {}", member.last_lines());
                    world.ledger.find("memory", &format!("process-{number}").into(), text);
                    fleet.signal(number, Disturbance::Kill);
                }
                if !is_killed && has(Disturbance::Term, GRACE) {
                    world.ledger.count("stops_late");
                    fleet.signal(number, Disturbance::Kill);
                }
                continue;
            };
            let is_planned = has(Disturbance::Term, Duration::ZERO) && status.success();
            if !is_killed && !is_planned {
                world.ledger.find(
                    "own_end",
                    &format!("process-{number}").into(),
                    format!("{status}\n    {}", member.last_lines()),
                );
            }
            member.is_up.set(false);
            for kind in [Disturbance::Kill, Disturbance::Term, Disturbance::Stop] {
                fleet.end(kind, Some(number));
            }
            if member.is_removed.get() {
                continue;
            }
            let max_ms = if member.rng.borrow_mut().random_bool(0.3) { 0 } else { 800 };
            let pause = between(&mut member.rng.borrow_mut(), 0, max_ms);
            let world = world.clone();
            actix_rt::spawn(async move {
                sleep(pause).await;
                take_address(&world, number).await;
                world.fleet.members[number].start();
            });
        }
    }
}
