use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use dispatch::PieceSet;
use domain::{EngineApi, EngineError, ModelId, Moment, WeightVersion, now};
use feed::{PieceAnswer, PieceShelf};
use sha2::{Digest, Sha256};
use smol::Timer;

use crate::agreement::Digests;

/// Uploads that may wait for their turn; whoever is refused asks another agent,
/// which may be idle.
const MAX_UPLOADS: usize = 2;

/// Share of a piece's time on the link after which the next one begins, so that
/// the link does not run dry in between.
const UPLOAD_OVERLAP: f64 = 0.85;

/// A place among the uploads; dropping it gives it back.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(uploads: &'a AtomicUsize) -> Option<Self> {
        let before = uploads.fetch_add(1, Ordering::Relaxed);
        let place = Place(uploads);
        (before < MAX_UPLOADS).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Key = (ModelId, WeightVersion);

/// The pieces on this VM: in memory while a version is being brought, staged at
/// the engine once it is complete.
pub struct Shelf<E> {
    engines: E,
    engine: SocketAddr,
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
    /// Digests as this agent has them from the origin.
    read: HashMap<Key, Digests>,
    /// Verified pieces in memory.
    pieces: HashMap<Key, HashMap<u32, Bytes>>,
    /// Since when all pieces of a version are in memory.
    complete: HashMap<Key, Moment>,
    /// Version whose pieces are staged.
    staged: Option<Key>,
}

impl<E: EngineApi> Shelf<E> {
    /// The shelf at the engine with address `engine` on a VM whose link carries
    /// `link` bytes a second.
    pub fn new(engines: E, engine: SocketAddr, link: f64) -> Self {
        Shelf {
            engines,
            engine,
            link: link.max(1.0),
            upload: Arc::default(),
            uploads: AtomicUsize::new(0),
            state: Mutex::default(),
        }
    }

    /// Trusts the digests of a version.
    pub fn trust(&self, model: &str, version: WeightVersion, digests: Digests) {
        self.state()
            .trusted
            .insert((model.into(), version), digests);
    }

    /// Keeps digests as the origin told them, for other agents.
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

    /// Takes the version as staged, for example because the engine serves it.
    pub fn note_staged(&self, model: &str, version: WeightVersion) {
        self.state().staged = Some((model.into(), version));
    }

    /// Nothing is known to be staged, for example after a restart of the engine.
    pub fn forget_staged(&self) {
        self.state().staged = None;
    }

    /// Whether a version is staged as far as is known.
    pub fn is_staged(&self, model: &str, version: WeightVersion) -> bool {
        self.state().staged == Some((model.into(), version))
    }

    /// Stages what is in memory of a version.
    pub async fn stage(&self, model: &str, version: WeightVersion) -> Result<(), EngineError> {
        self.forget_staged();
        let pieces = self.state().pieces.get(&(model.into(), version)).cloned();
        for (number, bytes) in pieces.into_iter().flatten() {
            let staging = self.engines.stage(self.engine, model, number, bytes);
            staging.await?;
        }
        self.note_staged(model, version);
        Ok(())
    }

    /// Reads a staged piece back; none unless it is the right one.
    pub async fn verified(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
    ) -> Option<Bytes> {
        let read = self.engines.staged_piece(self.engine, model, number).await;
        let read = read.unwrap_or_else(|e| {
            log::warn!("shelf: piece {number} of {model} not read: {e}");
            None
        });
        read.filter(|bytes| self.is_piece(model, version, number, bytes))
    }

    fn is_piece(&self, model: &str, version: WeightVersion, number: u32, bytes: &[u8]) -> bool {
        let found: [u8; 32] = Sha256::digest(bytes).into();
        let state = self.state();
        let digests = state.trusted.get(&(model.into(), version));
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        digests.and_then(|d| d.get(index)) == Some(&found)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<E: EngineApi> PieceShelf for Shelf<E> {
    async fn piece(&self, model: &str, version: u64, number: u32) -> PieceAnswer {
        let key = (model.into(), version);
        let kept = {
            let state = self.state();
            let pieces = state.pieces.get(&key);
            pieces.and_then(|p| p.get(&number)).cloned()
        };
        if kept.is_none() && !self.is_staged(model, version) {
            return PieceAnswer::Missing;
        }
        // One piece at a time: the tokens of live streams leave over the same
        // link and would wait behind every piece that is queued there.
        let Some(_place) = Place::take(&self.uploads) else {
            return PieceAnswer::Busy;
        };
        let bytes = match kept {
            Some(bytes) => bytes,
            None => match self.verified(model, version, number).await {
                Some(bytes) => bytes,
                None => return PieceAnswer::Missing,
            },
        };
        let turn = self.upload.lock_arc().await;
        let time = Duration::from_secs_f64(UPLOAD_OVERLAP * bytes.len() as f64 / self.link);
        transport::spawn(async move {
            Timer::after(time).await;
            drop(turn);
        })
        .detach();
        PieceAnswer::Here(bytes)
    }

    fn digests(&self, model: &str, version: u64) -> Option<Digests> {
        let key = (model.into(), version);
        let state = self.state();
        state.read.get(&key).or(state.trusted.get(&key)).cloned()
    }
}
