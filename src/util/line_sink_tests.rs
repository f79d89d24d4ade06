use std::sync::{Arc, Barrier, Mutex};

use super::*;

/// A reader that takes nothing until it is let go, as a full pipe does.
struct StuckReader {
    gate: Arc<Barrier>,
    passed: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckReader {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        if !self.passed {
            self.gate.wait();
            self.passed = true;
        }
        self.text.lock().expect("no writer panics").extend_from_slice(text);
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log's reader stops. Lines pile up to the bound, then are dropped; the process goes on, and
/// once the reader is back the log says how many are missing.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let gate = Arc::new(Barrier::new(2));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut sink =
        LineSink::new(StuckReader { gate: gate.clone(), passed: false, text: text.clone() });
    // All of this returns at once, though nobody reads.
    for _ in 0..10 * MAX_WAITING {
        sink.write_all(b"event=x\n").expect("the sink takes all");
    }
    gate.wait();
    let told = || String::from_utf8_lossy(&text.lock().expect("no writer panics")).into_owned();
    while !told().contains("event=log_lines_left_out count=") {
        std::thread::sleep(std::time::Duration::from_millis(20));
        sink.write_all(b"event=y\n").expect("the sink takes all");
    }
}

/// A process ends right after its last line, while the thread that writes has not come to it. The end
/// waits for the line; with a reader that has stopped it waits for the limit only.
#[test]
fn the_last_line_is_waited_for() {
    let gate = Arc::new(Barrier::new(2));
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut sink =
        LineSink::new(StuckReader { gate: gate.clone(), passed: false, text: text.clone() });
    let drain = sink.drain();
    assert!(drain.wait(Duration::ZERO), "nothing waits yet");
    sink.write_all(b"event=last\n").expect("the sink takes all");
    assert!(!drain.wait(Duration::from_millis(20)), "the reader has stopped");
    gate.wait();
    assert!(drain.wait(Duration::from_secs(20)));
    let text = String::from_utf8_lossy(&text.lock().expect("no writer panics")).into_owned();
    assert_eq!(text, "event=last\n");
}
