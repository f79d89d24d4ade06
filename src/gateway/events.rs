//! Events of a stream (`text/event-stream`) as they pass.

use bytes::{Bytes, BytesMut};

/// Name of an event; those of a stream increase.
pub(crate) type EventId = Box<str>;

/// Reads events from a body that comes in arbitrary pieces.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    line: BytesMut,
    data: BytesMut,
    in_event: bool,
    events: u64,
    output: BytesMut,
    /// What the event under way names itself.
    id: Option<EventId>,
    last_id: Option<EventId>,
    disordered: bool,
}

impl EventParser {
    /// Takes in a piece of the body; the number of events that end in it.
    pub(crate) fn push(&mut self, piece: &[u8]) -> u64 {
        let before = self.events;
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
        self.events - before
    }

    fn end_line(&mut self) {
        let line = self.line.split();
        let line = line.strip_suffix(b"\n").unwrap_or(&line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            self.end_event();
            return;
        }
        self.in_event = true;
        if let Some(id) = line.strip_prefix(b"id:") {
            self.id = std::str::from_utf8(id).ok().map(|id| id.trim().into());
        }
        if let Some(data) = line.strip_prefix(b"data:") {
            let data = data.strip_prefix(b" ").unwrap_or(data);
            if !self.data.is_empty() {
                self.data.extend_from_slice(b"\n");
            }
            self.data.extend_from_slice(data);
        }
    }

    fn end_event(&mut self) {
        if !self.in_event {
            return;
        }
        self.in_event = false;
        self.events += 1;
        let data = self.data.split();
        self.output.extend_from_slice(&data);
        self.output.extend_from_slice(b"\n");
        if let Some(id) = self.id.take() {
            self.disordered |= self.last_id.as_ref().is_some_and(|last| !follows(last, &id));
            self.last_id = Some(id);
        }
    }

    /// Whether the body may end here: no event has been begun.
    pub(crate) fn is_whole(&self) -> bool {
        self.line.is_empty() && !self.in_event
    }

    /// Name of the last event that has ended.
    pub(crate) fn last_id(&self) -> Option<&EventId> {
        self.last_id.as_ref()
    }

    /// Whether an event came that does not follow the one before.
    pub(crate) fn is_disordered(&self) -> bool {
        self.disordered
    }

    /// Events that have ended so far.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// The data of all events, each followed by a line feed.
    pub(crate) fn into_output(self) -> Bytes {
        self.output.freeze()
    }
}

/// Holds back the part of an event that has come, so that a stream which breaks off in the middle of
/// one can go on after the event before.
#[derive(Debug, Default)]
pub(crate) struct WholeEvents {
    held: BytesMut,
    /// Where the line begins that has no end yet.
    line: usize,
}

impl WholeEvents {
    /// Takes in a piece; all events that are whole now.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Bytes {
        let mut end = 0;
        for part in piece.split_inclusive(|byte| *byte == b'\n') {
            self.held.extend_from_slice(part);
            if !part.ends_with(b"\n") {
                break;
            }
            let line = &self.held[self.line..];
            if matches!(line, b"\n" | b"\r\n") {
                end = self.held.len();
            }
            self.line = self.held.len();
        }
        self.line -= end;
        self.held.split_to(end).freeze()
    }

    /// Whether part of an event is held back.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Drops the part of an event that is held back.
    pub(crate) fn clear(&mut self) {
        self.held.clear();
        self.line = 0;
    }
}

/// Whether an event may follow another one.
fn follows(last: &str, next: &str) -> bool {
    match (last.parse::<u64>(), next.parse::<u64>()) {
        (Ok(last), Ok(next)) => next > last,
        _ => next != last,
    }
}
