//! A writer that never waits: what its reader does not take in time is dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Lines that may wait for the reader; with some 300 bytes each they take 0.3 MB.
const MAX_WAITING: usize = 1_024;

/// Hands lines to a thread that writes them.
pub(crate) struct LineSink {
    lines: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl LineSink {
    pub(crate) fn new(to: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_lines(waiting, to));
        Self { lines, dropped: 0 }
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
        if self.dropped > 0 {
            let notice = format!("level=WARN event=log_lines_dropped count={}\n", self.dropped);
            if self.lines.try_send(notice.into_bytes()).is_ok() {
                self.dropped = 0;
            }
        }
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
