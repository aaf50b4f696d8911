//! Lines about decisions while nobody reads them.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, channel};

use serde_json::json;
use telemetry::{Outcome, decision, init_decisions_to};

/// A reader that never takes anything until its peer is dropped.
struct Blocked(Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        // Ends with an error once the test is over.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_reader_never_delays_a_decision() {
    let (open, blocked) = channel();
    init_decisions_to("vm", Blocked(blocked)).unwrap();

    // Returns at all only if nothing waits for the reader.
    for i in 0..100_000 {
        decision("test", "event", Outcome::Change, json!({ "number": i }));
    }

    drop(open);
}
