//! Incremental parsing and framing of `text/event-stream` bodies for the relay.

use bytes::{Bytes, BytesMut};

/// The `id` field of an event. Numeric ids increase within a stream.
pub(crate) type EventId = Box<str>;

/// Parses events from a body that arrives in arbitrary chunks.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    line: BytesMut,
    data: BytesMut,
    in_event: bool,
    events: u64,
    output: BytesMut,
    id: Option<EventId>,
    last_id: Option<EventId>,
    out_of_order: bool,
}

impl EventParser {
    /// Parses a chunk and returns the number of events that it completes.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> u64 {
        let before = self.events;
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
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
            self.out_of_order |= self.last_id.as_ref().is_some_and(|last| !follows(last, &id));
            self.last_id = Some(id);
        }
    }

    /// True if the body may end here, that is, between events.
    pub(crate) fn is_complete(&self) -> bool {
        self.line.is_empty() && !self.in_event
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&EventId> {
        self.last_id.as_ref()
    }

    /// True if the ids of the stream did not increase.
    pub(crate) fn is_out_of_order(&self) -> bool {
        self.out_of_order
    }

    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the data of all events, each followed by a line feed.
    pub(crate) fn into_output(self) -> Bytes {
        self.output.freeze()
    }
}

/// Passes on complete events only, so that an interrupted stream can be resumed after the last one.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    buffer: BytesMut,
    /// Offset of the incomplete line in `buffer`.
    line_start: usize,
}

impl EventFramer {
    /// Adds a chunk and returns the events that are complete.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Bytes {
        let mut end = 0;
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            self.buffer.extend_from_slice(part);
            if !part.ends_with(b"\n") {
                break;
            }
            let line = &self.buffer[self.line_start..];
            if matches!(line, b"\n" | b"\r\n") {
                end = self.buffer.len();
            }
            self.line_start = self.buffer.len();
        }
        self.line_start -= end;
        self.buffer.split_to(end).freeze()
    }

    /// True if no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops the incomplete event.
    pub(crate) fn clear(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
    }
}

/// Ids that are not numbers only have to differ.
fn follows(last: &str, next: &str) -> bool {
    match (last.parse::<u64>(), next.parse::<u64>()) {
        (Ok(last), Ok(next)) => next > last,
        _ => next != last,
    }
}
