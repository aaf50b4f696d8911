//! Log lines while the reader of the output is blocked, and at the end of a process.

mod fixture;

use std::sync::mpsc::channel;
use std::time::Duration;

use fixture::BlockedOutput;
use telemetry::{flush_logs, init_logs_to, report_error};

const LINES: usize = 20_000;

/// The first line for standard error stopped a process whose logs nobody read.
#[test]
fn blocked_output_does_not_delay_log_lines_and_panics() {
    let (open, blocked) = channel();
    let (written, lines) = channel();
    init_logs_to("info", BlockedOutput(blocked, written)).unwrap();

    // Finishes only if no call waits for the output.
    for number in 0..LINES {
        log::info!("line {number}");
    }
    let panicked = std::panic::catch_unwind(|| panic!("message of a panic"));
    assert!(!flush_logs(Duration::from_millis(20)), "flushed");
    drop(open);
    assert!(flush_logs(Duration::from_secs(10)), "not flushed");
    log::info!("first line that is read");
    report_error("reason of the end", Duration::from_secs(10));

    assert!(panicked.is_err());
    let bytes: Vec<u8> = lines.try_iter().flatten().collect();
    let text = String::from_utf8(bytes).unwrap();
    let last: Vec<&str> = text.lines().rev().take(3).collect();
    assert_eq!(last[0], "reason of the end");
    assert!(last[1].ends_with("first line that is read"), "{}", last[1]);
    let kept = text.lines().filter(|l| l.contains("] line ")).count();
    let words: Vec<&str> = last[2].split(' ').collect();
    let lost: usize = words[2].parse().unwrap();
    // The message of the panic was lost as well; a backtrace has several lines.
    assert!(lost > LINES - kept, "{}, {kept} kept", last[2]);
}
