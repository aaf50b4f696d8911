use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Longest event that is buffered; engines send some hundred bytes.
const MAX_EVENT: usize = 256 << 10;

/// Cuts a `text/event-stream` into whole events, so that a stream which breaks
/// within an event can go on elsewhere.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last: Option<CompactString>,
}

impl EventSplitter {
    /// Takes bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = match last_blank_line(&self.buffer) {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT => self.buffer.len(),
            None => return None,
        };
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Bytes of an event that is not complete.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Drops the bytes of an event that is not complete.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
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
