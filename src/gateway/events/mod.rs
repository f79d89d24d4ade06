//! Incremental parsing and framing of `text/event-stream` bodies for the relay.

mod framer;
mod lines;
mod parser;
#[cfg(test)]
mod tests;

pub(crate) use framer::EventFramer;
pub(crate) use parser::{EventId, EventParser};
