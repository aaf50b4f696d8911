use std::io::{Result, Write};
use std::sync::Arc;

use crate::line_queue::LineQueue;

/// Output of the logger: collects the parts of a line and queues it when it is complete.
pub(crate) struct LogOutput {
    queue: Arc<LineQueue>,
    line: Vec<u8>,
}

impl LogOutput {
    pub(crate) fn new(queue: Arc<LineQueue>) -> Self {
        LogOutput {
            queue,
            line: Vec::new(),
        }
    }
}

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.queue
                .write(String::from_utf8_lossy(&line).into_owned());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}
