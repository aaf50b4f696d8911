use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dispatch::{HeldMemory, MemoryHolder, MemoryLimits, NoMemory};

/// Memory of the process for bodies of requests and responses, which all exchanges share.
#[derive(Debug, Clone)]
pub struct BodyBuffers {
    memory: Arc<Mutex<HeldMemory>>,
}

/// Memory of one body; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: BodyBuffers,
    holder: MemoryHolder,
    bytes: usize,
}

impl BodyBuffers {
    /// Memory within these limits.
    pub fn new(limits: MemoryLimits) -> Self {
        BodyBuffers {
            memory: Arc::new(Mutex::new(HeldMemory::new(limits))),
        }
    }

    /// A reservation for `holder` that is empty at first.
    pub fn reserve(&self, holder: MemoryHolder) -> Reservation {
        Reservation {
            buffers: self.clone(),
            holder,
            bytes: 0,
        }
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    fn lock(&self) -> MutexGuard<'_, HeldMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Grows to `bytes`, or stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let added = bytes.saturating_sub(self.bytes);
        let mut memory = self.buffers.lock();
        memory.reserve(&self.holder, self.bytes, added)?;
        self.bytes += added;
        Ok(())
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// For whom the bytes are held.
    pub fn holder(&self) -> &MemoryHolder {
        &self.holder
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.lock().release(&self.holder, self.bytes);
    }
}
