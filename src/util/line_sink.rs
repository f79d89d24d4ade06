//! A writer that never waits: what its reader does not take in time is dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use tokio::time::Instant;

use super::line_budget::LineBudget;

/// Lines that may wait for the reader; with some 300 bytes each they take 0.3 MB.
const MAX_WAITING: usize = 1_024;

/// How often the end of the writing is looked for.
const DRAIN_PACE: Duration = Duration::from_millis(1);

/// Hands lines to a thread that writes them, within a budget.
pub(crate) struct LineSink {
    lines: SyncSender<Vec<u8>>,
    budget: LineBudget,
    waiting: Arc<AtomicUsize>,
}

/// Waits for lines that have been taken and not yet written.
pub(crate) struct LineDrain {
    waiting: Arc<AtomicUsize>,
}

impl LineDrain {
    /// Returns when all lines are written, or after `limit`; true if all are.
    ///
    /// A process that exits ends its writing thread: on a busy machine the line that tells how the stop
    /// ended was missing from the log in half of the stops.
    pub(crate) fn wait(&self, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        while self.waiting.load(Ordering::Acquire) > 0 {
            if std::time::Instant::now() >= end {
                return false;
            }
            thread::sleep(DRAIN_PACE);
        }
        true
    }
}

impl LineSink {
    pub(crate) fn new(to: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        let count = Arc::new(AtomicUsize::new(0));
        let written = count.clone();
        thread::spawn(move || write_lines(waiting, to, &written));
        Self { lines, budget: LineBudget::new(Instant::now()), waiting: count }
    }

    /// A handle to wait for the end of the writing.
    pub(crate) fn drain(&self) -> LineDrain {
        LineDrain { waiting: self.waiting.clone() }
    }

    /// Hands a line over; false if too many wait.
    fn hand_over(&self, line: Vec<u8>) -> bool {
        self.waiting.fetch_add(1, Ordering::Release);
        let taken = self.lines.try_send(line).is_ok();
        if !taken {
            self.waiting.fetch_sub(1, Ordering::Release);
        }
        taken
    }

    fn tell_left_out(&mut self) {
        let left_out = self.budget.take_left_out();
        if left_out == 0 {
            return;
        }
        let notice = format!("level=WARN event=log_lines_left_out count={left_out}\n");
        if !self.hand_over(notice.into_bytes()) {
            (0..left_out).for_each(|_| self.budget.dropped());
        }
    }
}

/// Writes what waits in one go, so that a burst costs one system call.
fn write_lines(waiting: Receiver<Vec<u8>>, mut to: impl Write, unwritten: &AtomicUsize) {
    while let Ok(mut text) = waiting.recv() {
        let mut count = 1;
        for line in waiting.try_iter() {
            text.extend(line);
            count += 1;
        }
        // There is nowhere left to report that the log cannot be written.
        let _ = to.write_all(&text).and_then(|()| to.flush());
        unwritten.fetch_sub(count, Ordering::Release);
    }
}

impl Write for LineSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.budget.admit(line, Instant::now()) {
            self.tell_left_out();
            if !self.hand_over(line.to_vec()) {
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
