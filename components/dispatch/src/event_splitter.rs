use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Longest event that is buffered, in bytes; engines send a few hundred.
const MAX_EVENT: usize = 64 << 10;
/// Length of the longest blank line together with the end of the line before it.
const MAX_SEPARATOR: usize = 4;

/// Splits a `text/event-stream` into complete events, so that a stream that breaks off
/// within an event can resume at another upstream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<CompactString>,
    is_malformed: bool,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<CompactString>) -> Self {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds bytes and returns the events that are now complete. Returns nothing more
    /// once the stream is malformed.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.is_malformed {
            return None;
        }
        // A separator may have begun in the bytes that were searched before.
        let searched = self.buffer.len().saturating_sub(MAX_SEPARATOR - 1);
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_blank_line(&self.buffer[searched..]) else {
            self.is_malformed = self.buffer.len() > MAX_EVENT;
            return None;
        };
        let mut complete = self.buffer.split_to(searched + end).freeze();
        let valid = valid_prefix(&complete);
        self.is_malformed = valid < complete.len() || self.buffer.len() > MAX_EVENT;
        complete.truncate(valid);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete).filter(|c| !c.is_empty())
    }

    /// Whether the stream contains bytes that are no event, or an event that is too
    /// long.
    pub fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Takes the bytes of an incomplete event out of the buffer.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Index after the last blank line.
fn last_blank_line(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    lf.max(crlf)
}

/// Length of the events before the first one that is too long or contains an invalid
/// line.
fn valid_prefix(events: &[u8]) -> usize {
    let (mut valid, mut at) = (0, 0);
    for line in events.split_inclusive(|b| *b == b'\n') {
        at += line.len();
        if at - valid > MAX_EVENT {
            return valid;
        }
        match line.trim_ascii_end() {
            [] => valid = at,
            line if is_field(line) => {}
            _ => return valid,
        }
    }
    valid
}

/// Whether a line is a comment or a field of an event: UTF-8 text, with a colon after
/// the name of the field.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|b| *b == b':') else {
        return matches!(line, b"data" | b"id" | b"event" | b"retry");
    };
    let is_name = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    line[..colon].iter().all(is_name) && std::str::from_utf8(line).is_ok()
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines()
        .rev()
        .find_map(|l| l.strip_prefix("id:"))
        .map(|id| id.trim().into())
}
