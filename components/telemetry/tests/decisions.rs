//! Decision lines while the reader of the output is blocked, and at the end of a process.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use serde_json::json;
use telemetry::{Outcome, decision, flush_decisions, init_decisions_to};

/// An output that blocks until the sender of its channel is dropped, and then passes on
/// what is written.
struct BlockedOutput(Receiver<()>, Sender<Vec<u8>>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        // Returns an error once the sender is dropped.
        let _ = self.0.recv();
        let _ = self.1.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// The last lines of a process were lost, as it ended before they were written.
#[test]
fn blocked_output_does_not_delay_decisions_and_last_lines_are_written() {
    let (open, blocked) = channel();
    let (written, lines) = channel();
    init_decisions_to("vm", BlockedOutput(blocked, written)).unwrap();

    // Finishes only if no call waits for the output.
    for i in 0..100_000 {
        decision("test", "event", Outcome::Change, json!({ "number": i }));
    }
    assert!(!flush_decisions(Duration::from_millis(20)), "flushed");
    drop(open);
    decision("test", "last", Outcome::Change, json!({}));
    assert!(flush_decisions(Duration::from_secs(10)), "not flushed");

    let text: Vec<u8> = lines.try_iter().flatten().collect();
    let last = String::from_utf8(text).unwrap();
    assert!(last.lines().last().unwrap().contains("\"what\":\"last\""));
}
