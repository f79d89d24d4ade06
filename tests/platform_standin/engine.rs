//! Stand-in for an upstream, with scripted faults.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use super::http::{RawMessage, Step, answer, serve};

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
}

#[derive(Default)]
struct State {
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
        let listener = TcpListener::bind(format!("{ip}:0")).await.expect("a free port");
        let address = listener.local_addr().expect("listener is bound").to_string();
        let engine = self.clone();
        actix_rt::spawn(serve(listener, move |request| {
            let steps = engine.handle(request);
            async move { steps }
        }));
        address
    }

    pub fn act(&self, act: EngineAct) {
        self.state.borrow_mut().acts.push_back(act);
    }

    pub fn runs(&self) -> Vec<RawMessage> {
        self.state.borrow().runs.clone()
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
        match act {
            Some(EngineAct::LoseAnswer) => vec![Step::Close],
            Some(EngineAct::CutAfter(count)) => vec![Step::Send(events(count, false)), Step::Close],
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
            Some(EngineAct::Slow(pause)) => vec![Step::Pause(pause), answer(200, &head, b"late")],
            Some(EngineAct::Fail(status)) => vec![answer(status, &head, b"failed")],
            Some(EngineAct::Paced(pause)) => paced(&head, pause),
            _ if is_stream => vec![Step::Send(events(EVENTS, true))],
            _ => vec![answer(200, &head, b"done")],
        }
    }
}

fn chunk(event: usize) -> Vec<u8> {
    let text = format!("id: {event}\ndata: w{event}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len()).into()
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

fn paced(head: &str, pause: Duration) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(head))];
    for event in 1..=EVENTS {
        steps.push(Step::Send(chunk(event)));
        steps.push(Step::Pause(pause));
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}
