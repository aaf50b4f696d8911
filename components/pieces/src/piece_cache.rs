use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::PieceSet;
use domain::{ModelId, Moment, WeightVersion, now};
use feed::{PieceLookup, PieceProvider};
use sha2::{Digest, Sha256};
use smol::Timer;

use crate::digest_quorum::Digests;

/// Lower bound of the limit on pending uploads. A refused peer requests the
/// piece from another process, which may be idle.
const MIN_UPLOADS: usize = 2;
/// Upper bound of the limit on pending uploads: on a link that has become slower,
/// more of them would delay live streams.
const MAX_UPLOADS: usize = 8;
/// Time on the link that pending uploads may need in all; a small part of the
/// longest delay that a token may have.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(20);
/// Interval between the starts of two uploads as a share of a piece's time on the
/// link. Below 1, so that the link does not become idle in between.
const UPLOAD_SPACING: f64 = 0.85;

/// A slot for a pending upload; released on drop.
struct UploadSlot<'a>(&'a AtomicUsize);

impl<'a> UploadSlot<'a> {
    /// Takes a slot; none if `limit` uploads are pending.
    fn acquire(pending: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let before = pending.fetch_add(1, Ordering::Relaxed);
        // Dropping the slot undoes the increment.
        let slot = UploadSlot(pending);
        (before < limit).then_some(slot)
    }
}

impl Drop for UploadSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Key = (ModelId, WeightVersion);

/// Verified pieces in memory, uploaded to other processes one at a time.
pub struct PieceCache {
    /// Bandwidth of the VM's link in bytes per second.
    bandwidth: f64,
    /// Held for most of the time that an upload takes on the link.
    link_lock: Arc<smol::lock::Mutex<()>>,
    /// Uploads that wait for the link, and pieces being read for an upload.
    pending: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Digests on which two sources agree.
    trusted: HashMap<Key, Digests>,
    /// Digests that this process read from the origin.
    from_origin: HashMap<Key, Digests>,
    /// Verified pieces in memory.
    pieces: HashMap<Key, HashMap<u32, Bytes>>,
    /// Since when all pieces of a version are in memory.
    complete_since: HashMap<Key, Moment>,
}

impl PieceCache {
    /// An empty cache on a VM with a link of `bandwidth` bytes per second.
    pub fn new(bandwidth: f64) -> Self {
        PieceCache {
            bandwidth: bandwidth.max(1.0),
            link_lock: Arc::default(),
            pending: AtomicUsize::new(0),
            state: Mutex::default(),
        }
    }

    /// Sets the digests against which the pieces of a version are verified.
    pub fn trust_digests(&self, model: &str, version: WeightVersion, digests: Digests) {
        let key = (model.into(), version);
        self.state().trusted.insert(key, digests);
    }

    /// Stores digests that were read from the origin, for other processes.
    pub fn store_origin_digests(&self, model: &str, version: WeightVersion, digests: Digests) {
        self.state()
            .from_origin
            .insert((model.into(), version), digests);
    }

    /// The trusted digests of a version.
    pub fn trusted_digests(&self, model: &str, version: WeightVersion) -> Option<Digests> {
        self.state().trusted.get(&(model.into(), version)).cloned()
    }

    /// Adds a piece if it has the trusted digest; returns whether it has.
    pub fn insert_verified(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
        bytes: Bytes,
    ) -> bool {
        let verified = self.matches_digest(model, version, number, &bytes);
        if verified {
            let mut state = self.state();
            let pieces = state.pieces.entry((model.into(), version)).or_default();
            pieces.insert(number, bytes);
        }
        verified
    }

    /// Whether `bytes` have the trusted digest of a piece.
    pub fn matches_digest(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
        bytes: &[u8],
    ) -> bool {
        let found: [u8; 32] = Sha256::digest(bytes).into();
        let state = self.state();
        let digests = state.trusted.get(&(model.into(), version));
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        digests.and_then(|d| d.get(index)) == Some(&found)
    }

    /// The set of pieces of a version that are in memory.
    pub fn held(&self, model: &str, version: WeightVersion) -> PieceSet {
        let mut set = PieceSet::default();
        let state = self.state();
        let pieces = state.pieces.get(&(model.into(), version));
        pieces
            .into_iter()
            .flatten()
            .for_each(|(n, _)| set.insert(*n));
        set
    }

    /// The pieces of a version that are in memory, by number.
    pub fn pieces(&self, model: &str, version: WeightVersion) -> HashMap<u32, Bytes> {
        let state = self.state();
        let pieces = state.pieces.get(&(model.into(), version));
        pieces.cloned().unwrap_or_default()
    }

    /// Since when all `count` pieces of a version are in memory.
    pub fn complete_since(
        &self,
        model: &str,
        version: WeightVersion,
        count: u32,
    ) -> Option<Moment> {
        let key = (model.into(), version);
        let mut state = self.state();
        let held = state.pieces.get(&key).map_or(0, HashMap::len);
        if u32::try_from(held).unwrap_or(u32::MAX) < count {
            state.complete_since.remove(&key);
            return None;
        }
        Some(*state.complete_since.entry(key).or_insert_with(now))
    }

    /// Drops the pieces of a version from memory.
    pub fn drop_pieces(&self, model: &str, version: WeightVersion) {
        self.state().pieces.remove(&(model.into(), version));
    }

    /// Drops the pieces of all but the `wanted` versions from memory.
    pub fn retain_versions(&self, wanted: impl Fn(WeightVersion) -> bool) {
        self.state().pieces.retain(|(_, v), _| wanted(*v));
    }

    /// A piece for another process, once the link is free for it. `fallback` reads
    /// a piece that is not in memory.
    pub async fn upload(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
        fallback: impl Future<Output = Option<Bytes>>,
    ) -> PieceLookup {
        let cached = {
            let state = self.state();
            let pieces = state.pieces.get(&(model.into(), version));
            pieces.and_then(|p| p.get(&number)).cloned()
        };
        // Pieces are sent one at a time: the tokens of live streams use the same
        // link and would wait behind every piece that is queued on it.
        let Some(_slot) = UploadSlot::acquire(&self.pending, self.max_uploads()) else {
            return PieceLookup::Busy;
        };
        let bytes = match cached {
            Some(bytes) => bytes,
            None => match fallback.await {
                Some(bytes) => bytes,
                None => return PieceLookup::Missing,
            },
        };
        let link = self.link_lock.lock_arc().await;
        let time = self.transfer_time(bytes.len()).mul_f64(UPLOAD_SPACING);
        transport::spawn(async move {
            Timer::after(time).await;
            drop(link);
        })
        .detach();
        PieceLookup::Found(bytes)
    }

    /// Limit on pending uploads.
    fn max_uploads(&self) -> usize {
        let state = self.state();
        let pieces = state.pieces.values().flat_map(HashMap::values);
        // The length of a piece is known only from those in memory.
        let Some(bytes) = pieces.map(Bytes::len).next() else {
            return MIN_UPLOADS;
        };
        let time = self.transfer_time(bytes).as_secs_f64().max(1e-6);
        let limit = MAX_QUEUE_TIME.as_secs_f64() / time;
        (limit as usize).clamp(MIN_UPLOADS, MAX_UPLOADS)
    }

    /// Time that `bytes` take on the link.
    fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bandwidth)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PieceProvider for PieceCache {
    async fn piece(&self, model: &str, version: u64, number: u32) -> PieceLookup {
        self.upload(model, version, number, std::future::ready(None))
            .await
    }

    fn digests(&self, model: &str, version: u64) -> Option<Digests> {
        let key = (model.into(), version);
        let state = self.state();
        let agreed = state.trusted.get(&key);
        agreed.or(state.from_origin.get(&key)).cloned()
    }
}
