use std::collections::HashMap;
use std::io::Write;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::line_queue::LineQueue;

/// Most lines of one kind per second about successes, which rarely explain a fault.
const SUCCESSES_PER_SECOND: u32 = 10;
/// Most lines of one kind per second about refusals and failures.
const FAILURES_PER_SECOND: u32 = 60;
/// Most lines of one kind per second about changes in the view of the system.
const CHANGES_PER_SECOND: u32 = 200;

/// Outcome of a decision, which sets the rate limit of its lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Success,
    /// A request was refused or failed.
    Failure,
    /// The process's view of the system changed.
    Change,
}

struct RateWindow {
    start: Instant,
    lines: u32,
    left_out: u32,
}

struct Writer {
    queue: LineQueue,
    windows: Mutex<HashMap<(&'static str, &'static str), RateWindow>>,
    vm: String,
}

static WRITER: OnceLock<Writer> = OnceLock::new();

/// Writes decisions to standard output, one JSON object per line. While the reader
/// is blocked, lines are lost but no caller waits.
pub fn init_decisions(vm: &str) -> std::io::Result<()> {
    init_decisions_to(vm, std::io::stdout())
}

/// Writes decisions to `out`, as [`init_decisions`] does to standard output.
pub fn init_decisions_to(vm: &str, out: impl Write + Send + 'static) -> std::io::Result<()> {
    let queue = LineQueue::start("decisions", out, |lost| {
        format!(
            "{}\n",
            json!({ "part": "log", "what": "lines lost", "lines": lost })
        )
    })?;
    let writer = Writer {
        queue,
        windows: Mutex::default(),
        vm: vm.to_owned(),
    };
    // After a second call the first writer stays in use.
    let _ = WRITER.set(writer);
    Ok(())
}

/// Waits until the lines written so far are on their way to the reader, for at most
/// `limit`; false if they are not. To be called before the process ends.
pub fn flush_decisions(limit: Duration) -> bool {
    WRITER.get().is_none_or(|writer| writer.queue.flush(limit))
}

/// Writes a line about a decision of `part`, unless the rate limit of its kind, that
/// is `part` and `what`, is reached.
pub fn decision(part: &'static str, what: &'static str, outcome: Outcome, fields: Value) {
    if let Some(left_out) = due(part, what, outcome) {
        write(part, what, left_out, fields);
    }
}

/// Number of lines of this kind left out since the last one, or `None` if the rate
/// limit is reached. Callers need not build the fields of a line that is not written.
pub fn due(part: &'static str, what: &'static str, outcome: Outcome) -> Option<u32> {
    let writer = WRITER.get()?;
    let limit = match outcome {
        Outcome::Success => SUCCESSES_PER_SECOND,
        Outcome::Failure => FAILURES_PER_SECOND,
        Outcome::Change => CHANGES_PER_SECOND,
    };
    let mut windows = writer
        .windows
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let window = windows.entry((part, what)).or_insert(RateWindow {
        start: now,
        lines: 0,
        left_out: 0,
    });
    if now.duration_since(window.start) >= Duration::from_secs(1) {
        window.start = now;
        window.lines = 0;
    }
    if window.lines >= limit {
        window.left_out += 1;
        return None;
    }
    window.lines += 1;
    Some(std::mem::take(&mut window.left_out))
}

/// Writes a line for which [`due`] returned `left_out`.
pub fn write(part: &'static str, what: &'static str, left_out: u32, fields: Value) {
    let Some(writer) = WRITER.get() else { return };
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut line = json!({
        "time": time.map_or(0.0, |t| t.as_secs_f64()),
        "vm": writer.vm,
        "part": part,
        "what": what,
    });
    if let (Value::Object(line), Value::Object(fields)) = (&mut line, fields) {
        line.extend(fields);
        if left_out > 0 {
            line.insert("left_out".to_owned(), left_out.into());
        }
    }
    let mut text = line.to_string();
    text.push('\n');
    writer.queue.write(text);
}
