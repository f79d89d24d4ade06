//! Non-blocking log writer: lines that its reader does not accept in time are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use tokio::time::Instant;

use super::line_budget::LineBudget;

/// Bounds the memory used while the reader is blocked.
const MAX_QUEUED_LINES: usize = 1_024;

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Sends lines to a writing thread, within a budget.
pub(crate) struct LineSink {
    lines: SyncSender<Vec<u8>>,
    budget: LineBudget,
    unwritten: Arc<AtomicUsize>,
}

/// Waits for queued lines to be written.
pub(crate) struct LineDrain {
    unwritten: Arc<AtomicUsize>,
}

impl LineDrain {
    /// Returns true once all lines are written, false after `timeout`.
    ///
    /// A process that exits without this may lose its last lines, as the writing thread ends with
    /// it.
    pub(crate) fn wait(&self, timeout: Duration) -> bool {
        let deadline = std::time::Instant::now() + timeout;
        while self.unwritten.load(Ordering::Acquire) > 0 {
            if std::time::Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        true
    }
}

impl LineSink {
    pub(crate) fn new(to: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let unwritten = Arc::new(AtomicUsize::new(0));
        let counter = unwritten.clone();
        thread::spawn(move || write_lines(queue, to, &counter));
        Self { lines, budget: LineBudget::new(Instant::now()), unwritten }
    }

    pub(crate) fn drain(&self) -> LineDrain {
        LineDrain { unwritten: self.unwritten.clone() }
    }

    /// Returns false if the queue is full.
    fn enqueue(&self, line: Vec<u8>) -> bool {
        self.unwritten.fetch_add(1, Ordering::Release);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.unwritten.fetch_sub(1, Ordering::Release);
        }
        sent
    }

    fn report_dropped(&mut self) {
        let left_out = self.budget.take_dropped_count();
        if left_out == 0 {
            return;
        }
        let notice = format!("level=WARN event=log_lines_left_out count={left_out}\n");
        if !self.enqueue(notice.into_bytes()) {
            (0..left_out).for_each(|_| self.budget.record_dropped());
        }
    }
}

/// Writes all queued lines at once, so that a burst costs one system call.
fn write_lines(queue: Receiver<Vec<u8>>, mut to: impl Write, unwritten: &AtomicUsize) {
    while let Ok(mut text) = queue.recv() {
        let mut count = 1;
        for line in queue.try_iter() {
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
            self.report_dropped();
            if !self.enqueue(line.to_vec()) {
                self.budget.record_dropped();
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
