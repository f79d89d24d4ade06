//! Stand-in for an upstream, with scripted faults.

pub mod loss;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::net::TcpListener;

use super::http::{RawMessage, Step, answer, serve};
use super::store::StandinStore;
use super::{ENGINES_TABLE, engine_entry};

use loss::DeadlyRequests;

/// Scripted behavior for one request; without any, the request succeeds.
#[derive(Debug, Clone)]
pub enum EngineAct {
    /// Rejects the request without running it, for lack of capacity.
    Full,
    /// Rejects the request as sent to the wrong upstream.
    Misdirected,
    /// Runs the request and closes the connection without a response.
    LoseAnswer,
    /// Interrupts the stream after this many events.
    CutAfter(usize),
    /// Interrupts the stream after one event and this pause.
    CutLater(Duration),
    /// Interrupts the stream in the middle of the event after this many.
    CutInside(usize),
    /// Ignores `Last-Event-Id` and streams from the first event.
    FromStart,
    /// Sends the response to another request first.
    ForeignFirst,
    /// Sends excess bytes after the response.
    Trailing,
    /// Delimits the response by the end of the connection.
    UntilClose,
    Slow(Duration),
    /// Runs the request and responds with this error status.
    Fail(u16),
    /// Streams with this pause after each event.
    Paced(Duration),
    /// Sends this text as an event stream, a byte at a time.
    Stream(String),
    /// Sends the head of an event stream at once, and its end without an event after this pause.
    EmptyStream(Duration),
    /// Responds with this many bytes.
    Large(usize),
    /// Interrupts an event stream after this text.
    CutText(&'static str),
    /// Sends this text as a body of this media type that ends with the connection.
    Unframed(&'static str, &'static str),
    /// Sends these bytes in place of an answer and closes the connection.
    CutRaw(String),
    /// Sends bytes that are no complete response, without end.
    Endless(EndlessPart),
}

/// The part of a response that never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    StatusLine,
    Header,
    Headers,
    InterimResponses,
    Body,
    ChunkSize,
    ChunkExtension,
    /// A line of an event stream.
    EventLine,
    /// The lines of one event.
    EventLines,
    Comments,
    Events,
    /// Lines of a body that is no event stream.
    Text,
}

impl EndlessPart {
    /// The beginning, and what follows it again and again.
    fn steps(self, head: &str) -> Vec<Step> {
        let ok = format!("HTTP/1.1 200 OK\r\n{head}");
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        let events =
            format!("{ok}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        let fill = "x".repeat(4_096);
        let (begin, repeated) = match self {
            Self::StatusLine => ("HTTP/1.1 200 ".into(), fill),
            Self::Header => (format!("{ok}x-fill: "), fill),
            Self::Headers => (ok, format!("x-fill: {fill}\r\n")),
            Self::InterimResponses => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)),
            Self::Body => (format!("{ok}\r\n"), fill),
            Self::ChunkSize => (chunked, "0".repeat(4_096)),
            Self::ChunkExtension => (format!("{chunked}1;"), fill),
            Self::EventLine => (events + &text_chunk("data: "), text_chunk(&fill)),
            Self::EventLines => (events, text_chunk(&format!("data: {fill}\n"))),
            Self::Comments => (events, text_chunk(&format!(": {fill}\n"))),
            Self::Text => (chunked, text_chunk(&format!("{fill}\n"))),
            Self::Events => (events, text_chunk("data: w\n\n").repeat(100)),
        };
        vec![Step::Send(begin.into()), Step::Repeat(repeated.into())]
    }
}

/// An engine's own entry in the store.
struct Registration {
    store: StandinStore,
    id: String,
    started_at: u64,
}

#[derive(Default)]
struct State {
    process: Option<JoinHandle<()>>,
    address: String,
    registration: Option<Registration>,
    deadly: Option<DeadlyRequests>,
    ends: u32,
    is_silent: bool,
    /// Requests that came after it had fallen silent.
    unheard: u32,
    acts: VecDeque<EngineAct>,
    runs: Vec<RawMessage>,
    seen: u32,
}

/// Clones share the same state.
#[derive(Clone, Default)]
pub struct StandinEngine {
    state: Rc<RefCell<State>>,
}

pub const EVENTS: usize = 3;

impl StandinEngine {
    pub async fn start(&self, ip: &str) -> String {
        self.listen(&format!("{ip}:0")).await
    }

    /// Returns the address, with the port that was assigned.
    async fn listen(&self, address: &str) -> String {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("listener is bound").to_string();
        let engine = self.clone();
        let process = actix_rt::spawn(serve(listener, move |request| {
            let steps = engine.handle(request);
            async move { steps }
        }));
        let mut state = self.state.borrow_mut();
        state.process = Some(process);
        state.address = address.clone();
        address
    }

    /// Starts the engine and registers it under this id.
    pub async fn start_registered(&self, store: &StandinStore, id: &str) {
        let registration = Registration { store: store.clone(), id: id.to_owned(), started_at: 1 };
        self.state.borrow_mut().registration = Some(registration);
        self.start_incarnation().await;
    }

    async fn start_incarnation(&self) {
        let address = self.start("127.0.0.1").await;
        self.register(&address);
    }

    fn register(&self, address: &str) {
        let state = self.state.borrow();
        let registration = state.registration.as_ref().expect("the engine is registered");
        let mut entry = engine_entry("zone-a", address, "ready");
        entry["born"] = registration.started_at.into();
        registration.store.put(ENGINES_TABLE, &registration.id, &entry);
    }

    fn register_next(&self, address: &str) {
        if let Some(registration) = self.state.borrow_mut().registration.as_mut() {
            registration.started_at += 1;
        }
        self.register(address);
    }

    pub fn lose_on(&self, deadly: &DeadlyRequests) {
        self.state.borrow_mut().deadly = Some(deadly.clone());
    }

    /// How often the engine has ended.
    pub fn ends(&self) -> u32 {
        self.state.borrow().ends
    }

    /// Requests that came after it had fallen silent.
    pub fn unheard(&self) -> u32 {
        self.state.borrow().unheard
    }

    pub fn unregister(&self) {
        let state = self.state.borrow();
        let registration = state.registration.as_ref().expect("the engine is registered");
        registration.store.remove(ENGINES_TABLE, &registration.id);
    }

    fn stop(&self) {
        if let Some(process) = self.state.borrow_mut().process.take() {
            process.abort();
        }
    }

    fn take_loss(&self, request: &RawMessage) -> Option<DeadlyRequests> {
        let state = self.state.borrow();
        let deadly = state.deadly.as_ref()?;
        if !request.text().contains(deadly.text) || deadly.left.get() == 0 {
            return None;
        }
        deadly.left.set(deadly.left.get() - 1);
        Some(deadly.clone())
    }

    pub fn act(&self, act: EngineAct) {
        self.state.borrow_mut().acts.push_back(act);
    }

    pub fn runs(&self) -> Vec<RawMessage> {
        self.state.borrow().runs.clone()
    }

    pub fn run_ids(&self) -> Vec<String> {
        let state = self.state.borrow();
        let ids = state.runs.iter().map(|run| run.header("merlinsaddle-request-id").to_owned());
        ids.collect()
    }

    pub fn clear_acts(&self) {
        self.state.borrow_mut().acts.clear();
    }

    pub fn clear_runs(&self) {
        self.state.borrow_mut().runs.clear();
    }

    /// Number of requests received, run or not.
    pub fn seen(&self) -> u32 {
        self.state.borrow().seen
    }

    fn handle(&self, request: RawMessage) -> Vec<Step> {
        let id = request.header("merlinsaddle-request-id").to_owned();
        let mut state = self.state.borrow_mut();
        if state.is_silent {
            state.unheard += 1;
            return vec![Step::Hang];
        }
        state.seen += 1;
        let act = state.acts.pop_front();
        let head = format!("merlinsaddle-request-id: {id}\r\nmerlinsaddle-server-stamp: s\r\n");
        match act {
            Some(EngineAct::Full) => {
                return vec![answer(503, "merlinsaddle-not-run: 1\r\n", b"")];
            }
            Some(EngineAct::Misdirected) => return vec![answer(421, "", b"")],
            _ => {}
        }
        state.runs.push(request.clone());
        let is_stream = request.target().contains("/turn");
        let after: usize = request.header("last-event-id").parse().unwrap_or(0);
        let events = |count: usize, end: bool| stream(&head, after + 1..=count, end);
        drop(state);
        if let Some(deadly) = self.take_loss(&request) {
            let sent = if deadly.events > 0 { events(deadly.events, false) } else { Vec::new() };
            let loss = deadly.next_loss(&self.state.borrow().address);
            return self.begin_loss(loss, &head, sent);
        }
        match act {
            Some(EngineAct::LoseAnswer) => vec![Step::Close],
            Some(EngineAct::CutAfter(count)) => vec![Step::Send(events(count, false)), Step::Close],
            Some(EngineAct::CutLater(pause)) => {
                vec![Step::Send(events(1, false)), Step::Pause(pause), Step::Close]
            }
            Some(EngineAct::CutInside(count)) => {
                let mut bytes = events(count, false);
                let text = format!("id: {}\nda", count + 1);
                bytes.extend(format!("{:x}\r\n{text}\r\n", text.len()).bytes());
                vec![Step::Send(bytes), Step::Close]
            }
            Some(EngineAct::FromStart) => vec![Step::Send(stream(&head, 1..=EVENTS, true))],
            Some(EngineAct::ForeignFirst) => {
                let foreign = answer(200, "merlinsaddle-request-id: other\r\n", b"not yours");
                vec![foreign, answer(200, &head, b"mine")]
            }
            Some(EngineAct::Trailing) => {
                vec![answer(200, &head, b"mine"), Step::Send(b"HTTP/1.1 200 OK\r\n".to_vec())]
            }
            Some(EngineAct::UntilClose) => {
                vec![
                    Step::Send(format!("HTTP/1.1 200 OK\r\n{head}\r\nto the end").into()),
                    Step::Close,
                ]
            }
            Some(EngineAct::Unframed(kind, text)) => {
                let kind = format!("content-type: {kind}\r\n");
                let bytes = format!("HTTP/1.1 200 OK\r\n{head}{kind}\r\n{text}");
                vec![Step::Send(bytes.into()), Step::Close]
            }
            Some(EngineAct::Slow(pause)) => vec![Step::Pause(pause), answer(200, &head, b"late")],
            Some(EngineAct::Fail(status)) => vec![answer(status, &head, b"failed")],
            Some(EngineAct::Paced(pause)) => paced(&head, pause),
            Some(EngineAct::Stream(text)) => {
                vec![Step::Send([text_stream(&head, &text), b"0\r\n\r\n".to_vec()].concat())]
            }
            Some(EngineAct::EmptyStream(pause)) => vec![
                Step::Send(stream_head(&head)),
                Step::Pause(pause),
                Step::Send(b"0\r\n\r\n".to_vec()),
            ],
            Some(EngineAct::Large(size)) => vec![answer(200, &head, &vec![b'x'; size])],
            Some(EngineAct::CutText(text)) => {
                vec![Step::Send(text_stream(&head, text)), Step::Close]
            }
            Some(EngineAct::CutRaw(text)) => vec![Step::Send(text.into()), Step::Close],
            Some(EngineAct::Endless(part)) => part.steps(&head),
            _ if is_stream => vec![Step::Send(events(EVENTS, true))],
            _ => vec![answer(200, &head, b"done")],
        }
    }
}

fn text_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn chunk(event: usize) -> Vec<u8> {
    text_chunk(&format!("id: {event}\ndata: w{event}\n\n")).into()
}

fn stream_head(head: &str) -> Vec<u8> {
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    format!("HTTP/1.1 200 OK\r\n{head}{kind}\r\n").into()
}

fn stream(head: &str, events: RangeInclusive<usize>, end: bool) -> Vec<u8> {
    let mut bytes = stream_head(head);
    bytes.extend(events.flat_map(chunk));
    if end {
        bytes.extend(b"0\r\n\r\n");
    }
    bytes
}

/// A stream without its end, in chunks of a byte.
fn text_stream(head: &str, text: &str) -> Vec<u8> {
    let mut bytes = stream_head(head);
    bytes.extend(text.bytes().flat_map(|byte| [b"1\r\n", &[byte][..], b"\r\n"].concat()));
    bytes
}

fn paced(head: &str, pause: Duration) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(head))];
    for event in 1..=EVENTS {
        steps.push(Step::Send(chunk(event)));
        steps.push(Step::Pause(pause));
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}
