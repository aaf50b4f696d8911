use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Lines that may wait for a slow reader of standard output.
const QUEUE: usize = 2048;
/// Lines of one kind a second for successes, which explain little afterwards.
const SUCCESSES: u32 = 10;
/// Lines of one kind a second for refusals and failures.
const FAILURES: u32 = 60;
/// Lines of one kind a second for changes of what the process believes.
const CHANGES: u32 = 200;

/// How a decision ended; bounds how many lines of a kind are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// As wanted.
    Success,
    /// A request was refused or failed.
    Failure,
    /// The process believes something else than before.
    Change,
}

struct Kind {
    second: Instant,
    lines: u32,
    left_out: u32,
}

struct Writer {
    lines: SyncSender<String>,
    kinds: Mutex<HashMap<(&'static str, &'static str), Kind>>,
    vm: String,
}

static WRITER: OnceLock<Writer> = OnceLock::new();

/// Sends decisions to standard output, one JSON object a line. A blocked reader
/// costs lines, never time.
pub fn init_decisions(vm: &str) -> std::io::Result<()> {
    init_decisions_to(vm, std::io::stdout())
}

/// Sends decisions to `out`, as [`init_decisions`] does.
pub fn init_decisions_to(vm: &str, mut out: impl Write + Send + 'static) -> std::io::Result<()> {
    let (lines, queue) = sync_channel::<String>(QUEUE);
    std::thread::Builder::new()
        .name("decisions".to_owned())
        .stack_size(64 << 10)
        .spawn(move || {
            while let Ok(line) = queue.recv() {
                // Nobody is left to be told when standard output is closed.
                let _ = out.write_all(line.as_bytes());
            }
        })?;
    let writer = Writer {
        lines,
        kinds: Mutex::default(),
        vm: vm.to_owned(),
    };
    // A second call keeps the first writer.
    let _ = WRITER.set(writer);
    Ok(())
}

/// Writes a line about a decision of `part`, within the rate of its kind.
pub fn decision(part: &'static str, what: &'static str, outcome: Outcome, fields: Value) {
    if let Some(left_out) = due(part, what, outcome) {
        write(part, what, left_out, fields);
    }
}

/// Whether a line of this kind may be written now, and how many were left out;
/// saves putting together what is not written.
pub fn due(part: &'static str, what: &'static str, outcome: Outcome) -> Option<u32> {
    let writer = WRITER.get()?;
    let limit = match outcome {
        Outcome::Success => SUCCESSES,
        Outcome::Failure => FAILURES,
        Outcome::Change => CHANGES,
    };
    let mut kinds = writer.kinds.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let kind = kinds.entry((part, what)).or_insert(Kind {
        second: now,
        lines: 0,
        left_out: 0,
    });
    if now.duration_since(kind.second) >= Duration::from_secs(1) {
        kind.second = now;
        kind.lines = 0;
    }
    if kind.lines >= limit {
        kind.left_out += 1;
        return None;
    }
    kind.lines += 1;
    Some(std::mem::take(&mut kind.left_out))
}

/// Writes a line that [`due`] has allowed.
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
    if let Err(TrySendError::Full(_)) = writer.lines.try_send(text) {
        metrics::counter!("turmerichold_log_lines_lost_total").increment(1);
    }
}
