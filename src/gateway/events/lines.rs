//! Splits the bytes of an event stream into lines.

/// A piece of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinePart<'a> {
    /// Text of a line, which may continue in the next part.
    Text(&'a [u8]),
    /// The terminator of a line.
    End(&'a [u8]),
    /// The line feed of a line that its carriage return has ended already.
    EndTail(&'a [u8]),
}

impl<'a> LinePart<'a> {
    pub(super) fn bytes(self) -> &'a [u8] {
        match self {
            Self::Text(bytes) | Self::End(bytes) | Self::EndTail(bytes) => bytes,
        }
    }
}

/// Finds the ends of lines: a line feed, a carriage return, or both, which may arrive in two chunks.
#[derive(Debug, Default)]
pub(super) struct LineSplitter {
    after_return: bool,
}

impl LineSplitter {
    /// Takes the next part off the front of `chunk`; `None` if nothing is left of it.
    pub(super) fn next_part<'a>(&mut self, chunk: &mut &'a [u8]) -> Option<LinePart<'a>> {
        let first = *chunk.first()?;
        let after_return = std::mem::replace(&mut self.after_return, first == b'\r');
        if !is_line_end(&first) {
            let len = chunk.iter().position(is_line_end).unwrap_or(chunk.len());
            return chunk.split_off(..len).map(LinePart::Text);
        }
        let terminator = chunk.split_off(..1)?;
        match first == b'\n' && after_return {
            true => Some(LinePart::EndTail(terminator)),
            false => Some(LinePart::End(terminator)),
        }
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}
