//! Decision lines while the reader of the output is blocked.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, channel};

use serde_json::json;
use telemetry::{Outcome, decision, init_decisions_to};

/// An output that blocks until the sender of its channel is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        // Returns an error once the sender is dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_delay_decisions() {
    let (open, blocked) = channel();
    init_decisions_to("vm", BlockedOutput(blocked)).unwrap();

    // Finishes only if no call waits for the output.
    for i in 0..100_000 {
        decision("test", "event", Outcome::Change, json!({ "number": i }));
    }

    drop(open);
}
