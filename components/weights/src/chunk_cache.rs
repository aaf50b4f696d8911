use std::collections::HashMap;
use std::sync::Arc;

use config::Digest;

use crate::WeightsError;

/// Verified chunks in memory, up to a number of bytes.
#[derive(Debug)]
pub struct ChunkCache {
    chunks: HashMap<Digest, Arc<[u8]>>,
    bytes: u64,
    capacity: u64,
}

impl ChunkCache {
    /// An empty cache for at most `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        ChunkCache {
            chunks: HashMap::new(),
            bytes: 0,
            capacity,
        }
    }

    /// Size of the chunks in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.bytes
    }

    /// The verified chunk with this digest.
    pub fn get(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        self.chunks.get(digest).cloned()
    }

    /// Adds a chunk if its bytes have the expected digest and fit; returns the cached chunk.
    pub fn insert_verified(
        &mut self,
        expected: Digest,
        bytes: Vec<u8>,
    ) -> Result<Arc<[u8]>, WeightsError> {
        let found = Digest::of(&bytes);
        if found != expected {
            return Err(WeightsError::WrongDigest { expected, found });
        }
        if let Some(cached) = self.get(&expected) {
            return Ok(cached);
        }
        let needed = self.bytes + bytes.len() as u64;
        if needed > self.capacity {
            return Err(WeightsError::CacheFull {
                needed,
                capacity: self.capacity,
            });
        }
        self.bytes = needed;
        let chunk: Arc<[u8]> = bytes.into();
        self.chunks.insert(expected, chunk.clone());
        Ok(chunk)
    }

    /// Removes every chunk for whose digest `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Digest) -> bool) {
        self.chunks.retain(|d, _| keep(d));
        self.bytes = self.chunks.values().map(|c| c.len() as u64).sum();
    }
}
