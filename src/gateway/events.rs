//! Events of a stream (`text/event-stream`) as they pass.

use bytes::{Bytes, BytesMut};

/// Reads events from a body that comes in arbitrary pieces.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    line: BytesMut,
    data: BytesMut,
    in_event: bool,
    events: u64,
    output: BytesMut,
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
    }

    /// Whether the body may end here: no event has been begun.
    pub(crate) fn is_whole(&self) -> bool {
        self.line.is_empty() && !self.in_event
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
