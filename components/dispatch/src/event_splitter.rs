use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Longest event that is buffered, in bytes; engines send a few hundred.
const MAX_EVENT: usize = 256 << 10;

/// Splits a `text/event-stream` into complete events, so that a stream that breaks off
/// within an event can resume at another upstream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<CompactString>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete; an event that is too
    /// long is returned in parts.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = match last_blank_line(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT => self.buffer.len(),
            None => return None,
        };
        let complete = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Takes the bytes of an incomplete event out of the buffer.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Drops the bytes of an incomplete event.
    pub fn discard(&mut self) {
        self.buffer.clear();
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

fn last_id(events: &[u8]) -> Option<CompactString> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines()
        .rev()
        .find_map(|l| l.strip_prefix("id:"))
        .map(|id| id.trim().into())
}
