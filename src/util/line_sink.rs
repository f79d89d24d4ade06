//! A writer that never waits: what its reader does not take in time is dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use tokio::time::Instant;

use super::line_budget::LineBudget;

/// Lines that may wait for the reader; with some 300 bytes each they take 0.3 MB.
const MAX_WAITING: usize = 1_024;

/// Hands lines to a thread that writes them, within a budget.
pub(crate) struct LineSink {
    lines: SyncSender<Vec<u8>>,
    budget: LineBudget,
}

impl LineSink {
    pub(crate) fn new(to: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_lines(waiting, to));
        Self { lines, budget: LineBudget::new(Instant::now()) }
    }

    fn tell_left_out(&mut self) {
        let left_out = self.budget.take_left_out();
        if left_out == 0 {
            return;
        }
        let notice = format!("level=WARN event=log_lines_left_out count={left_out}\n");
        if self.lines.try_send(notice.into_bytes()).is_err() {
            (0..left_out).for_each(|_| self.budget.dropped());
        }
    }
}

/// Writes what waits in one go, so that a burst costs one system call.
fn write_lines(waiting: Receiver<Vec<u8>>, mut to: impl Write) {
    while let Ok(mut text) = waiting.recv() {
        text.extend(waiting.try_iter().flatten());
        // There is nowhere left to report that the log cannot be written.
        let _ = to.write_all(&text).and_then(|()| to.flush());
    }
}

impl Write for LineSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.budget.admit(line, Instant::now()) {
            self.tell_left_out();
            if self.lines.try_send(line.to_vec()).is_err() {
                self.budget.dropped();
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
#[path = "line_sink_tests.rs"]
mod tests;
