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

use crate::agreement::Digests;

/// Fewest uploads that may be under way or wait for their turn; whoever is
/// refused asks another process, which may be idle.
const MIN_UPLOADS: usize = 2;
/// Most of them: on a link that has become narrow they delay live streams.
const MAX_UPLOADS: usize = 8;
/// Time that waiting uploads may need on the link: a small part of the longest
/// delay that a token may have.
const UPLOAD_QUEUE: Duration = Duration::from_millis(20);
/// Share of a piece's time on the link after which the next one begins, so that
/// the link does not run dry in between.
const UPLOAD_OVERLAP: f64 = 0.85;

/// A place among the uploads; dropping it gives it back.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(uploads: &'a AtomicUsize, most: usize) -> Option<Self> {
        let before = uploads.fetch_add(1, Ordering::Relaxed);
        let place = Place(uploads);
        (before < most).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Key = (ModelId, WeightVersion);

/// Verified pieces in memory, given to other processes one at a time.
pub struct Depot {
    /// Bytes that the VM's link carries in a second.
    link: f64,
    upload: Arc<smol::lock::Mutex<()>>,
    uploads: AtomicUsize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Digests that are agreed.
    trusted: HashMap<Key, Digests>,
    /// Digests as this process has them from the origin.
    read: HashMap<Key, Digests>,
    /// Verified pieces in memory.
    pieces: HashMap<Key, HashMap<u32, Bytes>>,
    /// Since when all pieces of a version are in memory.
    complete: HashMap<Key, Moment>,
}

impl Depot {
    /// An empty depot on a VM whose link carries `link` bytes a second.
    pub fn new(link: f64) -> Self {
        Depot {
            link: link.max(1.0),
            upload: Arc::default(),
            uploads: AtomicUsize::new(0),
            state: Mutex::default(),
        }
    }

    /// Trusts the digests of a version.
    pub fn trust(&self, model: &str, version: WeightVersion, digests: Digests) {
        let key = (model.into(), version);
        self.state().trusted.insert(key, digests);
    }

    /// Keeps digests as the origin told them, for other processes.
    pub fn note_read(&self, model: &str, version: WeightVersion, digests: Digests) {
        self.state().read.insert((model.into(), version), digests);
    }

    /// The agreed digests of a version.
    pub fn trusted(&self, model: &str, version: WeightVersion) -> Option<Digests> {
        self.state().trusted.get(&(model.into(), version)).cloned()
    }

    /// Keeps a piece in memory if its digest is the agreed one.
    pub fn keep(&self, model: &str, version: WeightVersion, number: u32, bytes: Bytes) -> bool {
        let fits = self.is_piece(model, version, number, &bytes);
        if fits {
            let mut state = self.state();
            let pieces = state.pieces.entry((model.into(), version)).or_default();
            pieces.insert(number, bytes);
        }
        fits
    }

    /// Whether bytes have the agreed digest of a piece.
    pub fn is_piece(&self, model: &str, version: WeightVersion, number: u32, bytes: &[u8]) -> bool {
        let found: [u8; 32] = Sha256::digest(bytes).into();
        let state = self.state();
        let digests = state.trusted.get(&(model.into(), version));
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        digests.and_then(|d| d.get(index)) == Some(&found)
    }

    /// Pieces of a version in memory.
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

    /// Numbers and bytes of the pieces of a version in memory.
    pub fn pieces(&self, model: &str, version: WeightVersion) -> HashMap<u32, Bytes> {
        let state = self.state();
        let pieces = state.pieces.get(&(model.into(), version));
        pieces.cloned().unwrap_or_default()
    }

    /// Since when all of `count` pieces of a version are in memory.
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
            state.complete.remove(&key);
            return None;
        }
        Some(*state.complete.entry(key).or_insert_with(now))
    }

    /// Drops a version from memory.
    pub fn drop_pieces(&self, model: &str, version: WeightVersion) {
        self.state().pieces.remove(&(model.into(), version));
    }

    /// Drops all versions but these from memory.
    pub fn retain(&self, wanted: impl Fn(WeightVersion) -> bool) {
        self.state().pieces.retain(|(_, v), _| wanted(*v));
    }

    /// Gives a piece to another process when its turn comes; `elsewhere` brings
    /// one that is not in memory.
    pub async fn give(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
        elsewhere: impl Future<Output = Option<Bytes>>,
    ) -> PieceLookup {
        let kept = {
            let state = self.state();
            let pieces = state.pieces.get(&(model.into(), version));
            pieces.and_then(|p| p.get(&number)).cloned()
        };
        // One piece at a time: the tokens of live streams leave over the same
        // link and would wait behind every piece that is queued there.
        let Some(_place) = Place::take(&self.uploads, self.most_uploads()) else {
            return PieceLookup::Busy;
        };
        let bytes = match kept {
            Some(bytes) => bytes,
            None => match elsewhere.await {
                Some(bytes) => bytes,
                None => return PieceLookup::Missing,
            },
        };
        let turn = self.upload.lock_arc().await;
        let time = self.time_of(bytes.len()).mul_f64(UPLOAD_OVERLAP);
        transport::spawn(async move {
            Timer::after(time).await;
            drop(turn);
        })
        .detach();
        PieceLookup::Found(bytes)
    }

    fn most_uploads(&self) -> usize {
        let state = self.state();
        let pieces = state.pieces.values().flat_map(HashMap::values);
        // Without pieces in memory their length is not known.
        let Some(bytes) = pieces.map(Bytes::len).next() else {
            return MIN_UPLOADS;
        };
        let time = self.time_of(bytes).as_secs_f64().max(1e-6);
        let fit = UPLOAD_QUEUE.as_secs_f64() / time;
        (fit as usize).clamp(MIN_UPLOADS, MAX_UPLOADS)
    }

    fn time_of(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.link)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PieceProvider for Depot {
    async fn piece(&self, model: &str, version: u64, number: u32) -> PieceLookup {
        self.give(model, version, number, std::future::ready(None))
            .await
    }

    fn digests(&self, model: &str, version: u64) -> Option<Digests> {
        let key = (model.into(), version);
        let state = self.state();
        state.read.get(&key).or(state.trusted.get(&key)).cloned()
    }
}
