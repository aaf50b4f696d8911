/// Longest line of a request; the library checks the length of a head at line breaks only.
const MAX_LINE_BYTES: usize = 8 << 10;

/// Where the next byte of a request belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Request line or a header.
    Head,
    /// Bytes of a body or of a chunk with its line break.
    Bytes { left: u64, in_chunk: bool },
    /// Line with the size of a chunk.
    ChunkSize,
    /// Lines after the last chunk.
    Trailer,
    /// The request is complete.
    End,
}

/// Finds the end of one request in the bytes of a connection, so that those of the next one
/// are left for it. Whether the request is valid is checked by the library.
#[derive(Debug)]
pub(crate) struct RequestFraming {
    part: Part,
    line: Vec<u8>,
    length: u64,
    chunked: bool,
    /// Whether the last line ended with CR LF.
    ended: bool,
}

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming {
            part: Part::Head,
            line: Vec::new(),
            length: 0,
            chunked: false,
            ended: false,
        }
    }
}

impl RequestFraming {
    /// Whether a line of the request is longer than the library accepts for all of its head.
    pub(crate) fn is_overlong(&self) -> bool {
        self.line.len() > MAX_LINE_BYTES
    }

    /// Takes the bytes that belong to the request; returns how many of `bytes` these are.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && self.part != Part::End {
            taken += match self.part {
                Part::Bytes { left, in_chunk } => {
                    self.take_bytes(bytes.len() - taken, left, in_chunk)
                }
                _ => self.take_line(&bytes[taken..]),
            };
        }
        taken
    }

    fn take_bytes(&mut self, available: usize, left: u64, in_chunk: bool) -> usize {
        let count = usize::try_from(left).map_or(available, |l| l.min(available));
        let left = left.saturating_sub(u64::try_from(count).unwrap_or(u64::MAX));
        self.part = match (left, in_chunk) {
            (0, true) => Part::ChunkSize,
            (0, false) => Part::End,
            _ => Part::Bytes { left, in_chunk },
        };
        count
    }

    fn take_line(&mut self, bytes: &[u8]) -> usize {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            self.line.extend_from_slice(bytes);
            return bytes.len();
        };
        self.line.extend_from_slice(&bytes[..=end]);
        let line = std::mem::take(&mut self.line);
        let text = String::from_utf8_lossy(&line);
        let is_empty = text == "\r\n";
        self.part = match self.part {
            Part::Head if is_empty && self.ended => self.after_head(),
            Part::Head => {
                self.read_header(&text);
                Part::Head
            }
            Part::Trailer if is_empty => Part::End,
            Part::ChunkSize => after_size(&text),
            part => part,
        };
        self.ended = text.ends_with("\r\n");
        end + 1
    }

    fn read_header(&mut self, line: &str) {
        let Some((name, value)) = line.split_once(':') else {
            return;
        };
        if name.eq_ignore_ascii_case("content-length") {
            self.length = value.trim().parse().unwrap_or(0);
        }
        self.chunked |= name.eq_ignore_ascii_case("transfer-encoding");
    }

    fn after_head(&self) -> Part {
        match (self.chunked, self.length) {
            (true, _) => Part::ChunkSize,
            (false, 0) => Part::End,
            (false, left) => Part::Bytes {
                left,
                in_chunk: false,
            },
        }
    }
}

/// What follows the line with the size of a chunk.
fn after_size(line: &str) -> Part {
    match u64::from_str_radix(line.trim_end(), 16) {
        Ok(0) => Part::Trailer,
        Ok(size) => Part::Bytes {
            // The line break after its bytes belongs to the chunk.
            left: size.saturating_add(2),
            in_chunk: true,
        },
        // The library refuses the request when it has read the line.
        Err(_) => Part::End,
    }
}
