//! Cuts a stream between events.

use bytes::{Bytes, BytesMut};

use super::lines::{LinePart, LineSplitter};

/// Passes on complete events only, so that an interrupted stream can be resumed after the last one.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    lines: LineSplitter,
    buffer: BytesMut,
    /// The current line has text.
    in_line: bool,
    /// The last line that ended was empty, which ends an event.
    after_event: bool,
}

impl EventFramer {
    /// Adds a chunk and returns the events that are complete.
    pub(crate) fn push(&mut self, mut chunk: &[u8]) -> Bytes {
        let mut end = 0;
        while let Some(part) = self.lines.next_part(&mut chunk) {
            self.buffer.extend_from_slice(part.bytes());
            match part {
                LinePart::Text(_) => self.in_line = true,
                LinePart::End(_) => self.after_event = !std::mem::take(&mut self.in_line),
                LinePart::EndTail(_) => {}
            }
            if self.after_event && !self.in_line {
                end = self.buffer.len();
            }
        }
        self.buffer.split_to(end).freeze()
    }

    /// Bytes of the incomplete event.
    pub(crate) fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// True if no incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops the incomplete event; the next chunk begins another stream.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
