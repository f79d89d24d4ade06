//! Reads the data and ids of events.

use bytes::{Bytes, BytesMut};

use super::lines::{LinePart, LineSplitter};

/// The `id` field of an event. Numeric ids increase within a stream.
pub(crate) type EventId = Box<str>;

/// The buffer of a longer line is given back.
const MAX_KEPT_LINE_BYTES: usize = 4 * 1024;
/// A stream may begin with it; it belongs to no field.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Parses events from a body that arrives in arbitrary chunks.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    /// Otherwise only the current event is kept.
    keeps_output: bool,
    lines: LineSplitter,
    line: BytesMut,
    after_first_line: bool,
    /// Data of the event so far; `None` before its first `data` field, whose value may be empty.
    data: Option<BytesMut>,
    /// A field has come since the last event.
    in_event: bool,
    events: u64,
    output: BytesMut,
    id: Option<EventId>,
    /// The last id that came; later events may have had none.
    last_id: Option<EventId>,
    last_has_id: bool,
    out_of_order: bool,
}

impl EventParser {
    /// A parser that keeps the data of all events.
    pub(crate) fn with_output() -> Self {
        Self { keeps_output: true, ..Self::default() }
    }

    /// Bytes that are kept: the current event, and the output.
    pub(crate) fn held_bytes(&self) -> usize {
        let data = self.data.as_ref().map_or(0, BytesMut::capacity);
        self.line.capacity() + data + self.output.capacity()
    }

    /// Parses a chunk and returns the number of events that it completes.
    pub(crate) fn push(&mut self, mut chunk: &[u8]) -> u64 {
        let before = self.events;
        while let Some(part) = self.lines.next_part(&mut chunk) {
            match part {
                LinePart::Text(text) => self.line.extend_from_slice(text),
                LinePart::End(_) => self.end_line(),
                LinePart::EndTail(_) => {}
            }
        }
        self.events - before
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        self.read_line(&line);
        if line.capacity() <= MAX_KEPT_LINE_BYTES {
            self.line = line;
            self.line.clear();
        }
    }

    fn read_line(&mut self, line: &[u8]) {
        let is_first = !std::mem::replace(&mut self.after_first_line, true);
        let line = match line.strip_prefix(BYTE_ORDER_MARK) {
            Some(rest) if is_first => rest,
            _ => line,
        };
        if line.is_empty() {
            self.end_event();
            return;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (field, value) = match colon {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &[][..]),
        };
        let is_comment = field.is_empty();
        if !is_comment {
            self.in_event = true;
            self.read_field(field, value.strip_prefix(b" ").unwrap_or(value));
        }
    }

    fn read_field(&mut self, field: &[u8], value: &[u8]) {
        match field {
            b"data" => match &mut self.data {
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
                None => self.data = Some(value.into()),
            },
            b"id" => self.id = parse_id(value),
            _ => {}
        }
    }

    /// Fields without data, such as a new retry delay, make no event.
    fn end_event(&mut self) {
        self.in_event = false;
        let id = self.id.take();
        let Some(data) = self.data.take() else { return };
        self.events += 1;
        if self.keeps_output {
            self.output.extend_from_slice(&data);
            self.output.extend_from_slice(b"\n");
        }
        self.last_has_id = id.is_some();
        if let Some(id) = id {
            self.out_of_order |= self.last_id.as_ref().is_some_and(|last| !follows(last, &id));
            self.last_id = Some(id);
        }
    }

    /// True if the body may end here, that is, between events.
    pub(crate) fn is_complete(&self) -> bool {
        self.line.is_empty() && !self.in_event
    }

    /// Id of the last complete event; `None` if it has none, so that the stream cannot be resumed
    /// after it.
    pub(crate) fn last_id(&self) -> Option<&EventId> {
        self.last_id.as_ref().filter(|_| self.last_has_id)
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

/// `None` for an id that cannot be sent in the header of a resumed request.
fn parse_id(value: &[u8]) -> Option<EventId> {
    let id = std::str::from_utf8(value).ok()?.trim();
    (!id.contains(char::is_control)).then(|| id.into())
}

/// Ids that are not numbers only have to differ.
fn follows(last: &str, next: &str) -> bool {
    match (last.parse::<u64>(), next.parse::<u64>()) {
        (Ok(last), Ok(next)) => next > last,
        _ => next != last,
    }
}
