//! Engines that leave, crash and come back, and whose answers tell the run that they belong to.

use super::*;

/// How long a leaving engine serves.
const LEAVE_TIME: Duration = Duration::from_secs(4);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// While an engine misbehaves, one in this many answers is spoilt.
const SPOILT_SHARE: u32 = 3;
const FLOOD_PIECES: usize = 32;
const FLOOD_PIECE_BYTES: usize = 256 * 1024;
/// Stands for an answer that was never sent whole.
const NO_ANSWER: &str = "none";
/// Work before the answer in ms, events, pause after each in ms, bytes of an answer without events.
pub const WORK_HEADER: &str = "x-soak-work";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineLeave {
    Announced,
    /// The entry is removed first.
    Silent,
    Crash,
}

/// What a misbehaving engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SpoiltAnswer {
    /// Bytes that are no answer.
    Noise,
    BrokenOff,
    /// Bytes after the end of the answer.
    Trailing,
    /// Far more of an event, or of a body, than an answer has.
    Flood,
}

/// A request that an engine began to run.
pub struct EngineRun {
    pub stamp: String,
    pub answer: String,
    pub until: Instant,
    /// The engine ended before the request, or did not send its answer whole.
    pub is_broken: bool,
}

/// One start of an engine.
struct Incarnation {
    id: String,
    service: &'static str,
    zone: &'static str,
    slots: usize,
    address: String,
    /// Between instances and the engine, for some.
    link: Option<Rc<TcpLink>>,
    is_spoiling: Cell<bool>,
    is_leaving: Cell<bool>,
    active: Cell<usize>,
    runs: Cell<u32>,
    task: RefCell<Option<JoinHandle<()>>>,
    ledger: Rc<RequestLedger>,
}

pub struct EngineFleet {
    store: StandinStore,
    ledger: Rc<RequestLedger>,
    shape: SoakShape,
    starts: Cell<usize>,
    engines: RefCell<Vec<Rc<Incarnation>>>,
}

impl EngineFleet {
    pub async fn start(
        settings: &SoakSettings,
        store: &StandinStore,
        ledger: &Rc<RequestLedger>,
    ) -> Self {
        let (store, ledger, shape) = (store.clone(), ledger.clone(), settings.shape);
        let (starts, engines) = Default::default();
        let fleet = Self { store, ledger, shape, starts, engines };
        let services = shape.engines(&mut settings.rng("engines", 0));
        for (number, service) in services.iter().enumerate() {
            let engine = fleet.start_engine(service, shape.zone(number, services.len())).await;
            fleet.engines.borrow_mut().push(engine);
        }
        fleet
    }

    /// Share of the places of all engines that are taken.
    pub fn load(&self) -> f64 {
        let engines = self.engines.borrow();
        let active: usize = engines.iter().map(|engine| engine.active.get()).sum();
        let slots: usize = engines.iter().map(|engine| engine.slots).sum();
        active as f64 / slots as f64
    }

    pub fn set_spoiling(&self, engine: usize, is_spoiling: bool) {
        self.engines.borrow()[engine].is_spoiling.set(is_spoiling);
    }

    pub fn link(&self, engine: usize) -> Option<Rc<TcpLink>> {
        self.engines.borrow()[engine].link.clone()
    }

    pub fn count(&self) -> usize {
        self.engines.borrow().len()
    }

    async fn start_engine(&self, service: &'static str, zone: &'static str) -> Rc<Incarnation> {
        self.starts.set(self.starts.get() + 1);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let own = listener.local_addr().expect("listener is bound").to_string();
        let link = if self.shape.is_site() { Some(TcpLink::start(&own).await) } else { None };
        let (is_spoiling, is_leaving, active, runs, task) = Default::default();
        let engine = Rc::new(Incarnation {
            id: format!("e{}", self.starts.get()),
            service,
            zone,
            slots: self.shape.slots(service),
            address: link.as_ref().map_or(own, |link| link.address.clone()),
            link,
            is_spoiling,
            is_leaving,
            active,
            runs,
            task,
            ledger: self.ledger.clone(),
        });
        let own = engine.clone();
        let task = actix_rt::spawn(serve(listener, move |request| own.clone().handle(request)));
        engine.task.replace(Some(task));
        self.beat(&engine, 1);
        engine
    }

    /// Writes the entry of an engine.
    fn beat(&self, engine: &Incarnation, sequence: u64) {
        let state = if engine.is_leaving.get() { "draining" } else { "ready" };
        let entry = json!({
            "service": engine.service, "address": engine.address, "zone": engine.zone,
            "slots": engine.slots, "version": "v1", "state": state, "cold-left-ms": 0, "sequence": sequence,
        });
        self.store.put("servers", &engine.id, &entry);
    }

    pub async fn keep_beating(&self) {
        for sequence in 2.. {
            sleep(HEARTBEAT_INTERVAL).await;
            self.engines.borrow().iter().for_each(|engine| self.beat(engine, sequence));
        }
    }

    /// An engine leaves or crashes, and another one starts in its place.
    pub async fn replace(&self, number: usize, leave: EngineLeave) {
        let (service, zone) = {
            let engine = &self.engines.borrow()[number];
            (engine.service, engine.zone)
        };
        let next = self.start_engine(service, zone).await;
        let engine = std::mem::replace(&mut self.engines.borrow_mut()[number], next);
        match leave {
            EngineLeave::Announced => {
                engine.is_leaving.set(true);
                self.beat(&engine, u64::MAX);
            }
            EngineLeave::Silent => self.store.remove("servers", &engine.id),
            EngineLeave::Crash => {}
        }
        if leave != EngineLeave::Crash {
            sleep(LEAVE_TIME).await;
        }
        engine.task.take().expect("it ends once").abort();
        self.ledger.break_runs(&format!("{}.", engine.id));
        self.store.remove("servers", &engine.id);
    }
}

impl Incarnation {
    async fn handle(self: Rc<Self>, request: RawMessage) -> Vec<Step> {
        if request.target() == "/health" {
            let head = format!("merlinsaddle-instance-id: {}\r\n", self.id);
            return vec![answer(if self.is_leaving.get() { 503 } else { 200 }, &head, b"")];
        }
        let id = request.header("merlinsaddle-request-id");
        let work = request.header(WORK_HEADER).split(',').filter_map(|part| part.parse().ok());
        let work: Vec<u64> = work.collect();
        let close = if self.is_leaving.get() { "connection: close\r\n" } else { "" };
        let head = format!("merlinsaddle-request-id: {id}\r\n{close}");
        let refuse =
            |status| vec![answer(status, &format!("{head}merlinsaddle-not-run: 1\r\n"), b"")];
        let [pause, events, gap, bytes] = work[..] else { return refuse(400) };
        if request.header("merlinsaddle-expect-instance") != self.id {
            return refuse(421);
        }
        if self.active.get() >= self.slots {
            return refuse(503);
        }
        self.runs.set(self.runs.get() + 1);
        let stamp = format!("{}.{}", self.id, self.runs.get());
        let events: Vec<String> =
            (1..=events).map(|event| format!("id: {event}\ndata: {stamp}-{event}\n\n")).collect();
        let body = match events.is_empty() {
            true => format!("{stamp} {id} {}", "x".repeat(bytes as usize)),
            false => events.concat(),
        };
        let length = Duration::from_millis(pause + events.len() as u64 * gap);
        let until = Instant::now() + length;
        let spoilt = self.spoilt();
        let is_broken = spoilt.is_some_and(|spoilt| spoilt != SpoiltAnswer::Trailing);
        let answer_text = if is_broken { NO_ANSWER.into() } else { body.clone() };
        let run = EngineRun { stamp: stamp.clone(), answer: answer_text, until, is_broken };
        self.ledger.run(&id.into(), &request.body, run);
        self.active.set(self.active.get() + 1);
        let engine = self.clone();
        actix_rt::spawn(async move {
            sleep(length).await;
            engine.active.set(engine.active.get() - 1);
        });
        sleep(Duration::from_millis(pause)).await;
        let head = format!("{head}merlinsaddle-server-stamp: {stamp}\r\n");
        match spoilt {
            Some(SpoiltAnswer::Flood) => flood(&head, !events.is_empty()),
            _ => spoil(answer_steps(&head, &body, &events, Duration::from_millis(gap)), spoilt),
        }
    }

    fn spoilt(&self) -> Option<SpoiltAnswer> {
        let kinds = [
            SpoiltAnswer::Noise,
            SpoiltAnswer::BrokenOff,
            SpoiltAnswer::Trailing,
            SpoiltAnswer::Flood,
        ];
        let number = self.runs.get();
        let is_spoilt = self.is_spoiling.get() && number.is_multiple_of(SPOILT_SHARE);
        is_spoilt.then(|| kinds[(number / SPOILT_SHARE) as usize % kinds.len()])
    }
}

fn answer_steps(head: &str, body: &str, events: &[String], gap: Duration) -> Vec<Step> {
    if events.is_empty() {
        return vec![answer(200, head, body.as_bytes())];
    }
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let begin = Step::Send(format!("HTTP/1.1 200 OK\r\n{head}{kind}\r\n").into());
    let chunk = |event: &String| Step::Send(format!("{:x}\r\n{event}\r\n", event.len()).into());
    let chunks = events.iter().flat_map(|event| [chunk(event), Step::Pause(gap)]);
    std::iter::once(begin).chain(chunks).chain([Step::Send(b"0\r\n\r\n".to_vec())]).collect()
}

/// An answer that breaks off after an event without an end.
fn flood(head: &str, is_stream: bool) -> Vec<Step> {
    let kind = if is_stream { "content-type: text/event-stream\r\n" } else { "" };
    let head = format!("HTTP/1.1 200 OK\r\n{head}{kind}transfer-encoding: chunked\r\n\r\n");
    let piece = "x".repeat(FLOOD_PIECE_BYTES);
    let piece = Step::Send(format!("{FLOOD_PIECE_BYTES:x}\r\n{piece}\r\n").into());
    let pieces = std::iter::repeat_n(piece, FLOOD_PIECES);
    std::iter::once(Step::Send(head.into())).chain(pieces).chain([Step::Close]).collect()
}

fn spoil(mut steps: Vec<Step>, spoilt: Option<SpoiltAnswer>) -> Vec<Step> {
    let noise = Step::Send(b"\x00\xffHTTQ/9 no answer\r\n\r\n".to_vec());
    match spoilt {
        None => {}
        Some(SpoiltAnswer::Noise) => steps = vec![noise, Step::Close],
        Some(SpoiltAnswer::Trailing | SpoiltAnswer::Flood) => steps.push(noise),
        Some(SpoiltAnswer::BrokenOff) => {
            steps.truncate(steps.len().div_ceil(2));
            if let Some(Step::Send(bytes)) = steps.last_mut() {
                bytes.truncate(bytes.len() - 1);
            }
            steps.push(Step::Close);
        }
    }
    steps
}
