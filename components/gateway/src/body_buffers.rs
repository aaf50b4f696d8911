use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most bytes of response bodies in memory, over all requests: a fifth of the memory
/// of an entry with 160 MB.
const CAPACITY: usize = 32 << 20;

/// Memory for response bodies that are buffered before they are passed on. Each body
/// may take as much as is left over for others, so that a few long bodies leave room
/// for many short ones.
#[derive(Debug, Clone, Default)]
pub struct BodyBuffers {
    used: Arc<AtomicUsize>,
}

/// Memory of one body; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: BodyBuffers,
    bytes: usize,
}

impl BodyBuffers {
    /// A reservation that is empty at first.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            buffers: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Grows to the length of the body; false if that is more than what is left over.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        self.bytes += added;
        let used = self.buffers.used.fetch_add(added, Ordering::Relaxed) + added;
        self.bytes <= CAPACITY.saturating_sub(used)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
