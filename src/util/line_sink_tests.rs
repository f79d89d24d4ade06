use std::sync::{Arc, Barrier, Mutex};

use super::*;

/// Blocks on the first write until the gate opens, like a full pipe.
struct BlockedWriter {
    gate: Arc<Barrier>,
    released: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.gate.wait();
            self.released = true;
        }
        self.text.lock().expect("no writer panics").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A blocked log reader must not block the process, and dropped lines must not go unreported.
#[test]
fn blocked_reader_does_not_block_writers_and_dropped_lines_are_reported() {
    let gate = Arc::new(Barrier::new(2));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut sink =
        LineSink::new(BlockedWriter { gate: gate.clone(), released: false, text: text.clone() });
    // Returns at once, although nobody reads.
    for _ in 0..10 * MAX_QUEUED_LINES {
        sink.write_all(b"event=x\n").expect("the sink takes all");
    }
    gate.wait();
    let log = || String::from_utf8_lossy(&text.lock().expect("no writer panics")).into_owned();
    while !log().contains("event=log_lines_left_out count=") {
        std::thread::sleep(std::time::Duration::from_millis(20));
        sink.write_all(b"event=y\n").expect("the sink takes all");
    }
}

/// The last line must not be lost at exit, and a blocked reader must not delay exit past the timeout.
#[test]
fn drain_waits_until_the_last_line_is_written() {
    let gate = Arc::new(Barrier::new(2));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut sink =
        LineSink::new(BlockedWriter { gate: gate.clone(), released: false, text: text.clone() });
    let drain = sink.drain();
    assert!(drain.wait(Duration::ZERO), "nothing waits yet");
    sink.write_all(b"event=last\n").expect("the sink takes all");
    assert!(!drain.wait(Duration::from_millis(20)), "the reader has stopped");
    gate.wait();
    assert!(drain.wait(Duration::from_secs(20)));
    let text = String::from_utf8_lossy(&text.lock().expect("no writer panics")).into_owned();
    assert_eq!(text, "event=last\n");
}
