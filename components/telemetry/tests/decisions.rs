//! Decision lines while the reader of the output is blocked, and at the end of a process.

mod fixture;

use std::sync::mpsc::channel;
use std::time::Duration;

use fixture::BlockedOutput;
use serde_json::json;
use telemetry::{Outcome, decision, flush_decisions, init_decisions_to};

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
