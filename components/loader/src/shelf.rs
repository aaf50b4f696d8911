use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use domain::{EngineApi, ModelId, WeightVersion};
use feed::PieceShelf;
use sha2::{Digest, Sha256};
use smol::Timer;

/// The pieces that are staged at the engine, as far as they are verified. The
/// bytes stay at the engine; only digests are kept here.
pub struct Shelf<E> {
    engines: E,
    engine: SocketAddr,
    /// Bytes that the VM's link carries in a second.
    link: f64,
    upload: Arc<smol::lock::Mutex<()>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Digests by model and version, as this agent trusts them.
    digests: HashMap<(ModelId, WeightVersion), Vec<[u8; 32]>>,
    /// Version of each staged piece that was verified.
    staged: HashMap<(ModelId, u32), WeightVersion>,
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
            state: Mutex::default(),
        }
    }

    /// Trusts the digests of a version.
    pub fn trust(&self, model: &str, version: WeightVersion, digests: Vec<[u8; 32]>) {
        self.state().digests.insert((model.into(), version), digests);
    }

    /// The digests of a version, where they are trusted.
    pub fn agreed(&self, model: &str, version: WeightVersion) -> Option<Vec<[u8; 32]>> {
        self.state().digests.get(&(model.into(), version)).cloned()
    }

    /// Whether the digests of a version are trusted.
    pub fn knows(&self, model: &str, version: WeightVersion) -> bool {
        self.state().digests.contains_key(&(model.into(), version))
    }

    /// Whether bytes are the piece of a version.
    pub fn is_piece(&self, model: &str, version: WeightVersion, number: u32, bytes: &[u8]) -> bool {
        let found: [u8; 32] = Sha256::digest(bytes).into();
        let state = self.state();
        let digests = state.digests.get(&(model.into(), version));
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        digests.and_then(|d| d.get(index)) == Some(&found)
    }

    /// Records that a verified piece is staged.
    pub fn note_staged(&self, model: &str, version: WeightVersion, number: u32) {
        self.state().staged.insert((model.into(), number), version);
    }

    /// Forgets what is staged, for example after a restart of the engine.
    pub fn forget(&self) {
        self.state().staged.clear();
    }

    /// Reads a staged piece back; none unless it is the right one.
    pub async fn verified(&self, model: &str, version: WeightVersion, number: u32) -> Option<Bytes> {
        let read = self.engines.staged_piece(self.engine, model, number).await;
        let bytes = match read {
            Ok(bytes) => bytes?,
            Err(e) => {
                log::warn!("shelf: piece {number} of {model} not read: {e}");
                return None;
            }
        };
        if self.is_piece(model, version, number, &bytes) {
            return Some(bytes);
        }
        let mut state = self.state();
        let key = (ModelId::from(model), number);
        if state.staged.get(&key) == Some(&version) {
            state.staged.remove(&key);
        }
        None
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<E: EngineApi> PieceShelf for Shelf<E> {
    async fn piece(&self, model: &str, version: u64, number: u32) -> Option<Bytes> {
        let staged = self.state().staged.get(&(model.into(), number)).copied();
        if staged != Some(version) {
            return None;
        }
        let bytes = self.verified(model, version, number).await?;
        // One piece at a time: the tokens of live streams leave over the same
        // link and would wait behind every piece that is queued there.
        let turn = self.upload.lock_arc().await;
        let time = Duration::from_secs_f64(bytes.len() as f64 / self.link);
        transport::spawn(async move {
            Timer::after(time).await;
            drop(turn);
        })
        .detach();
        Some(bytes)
    }

    fn digests(&self, model: &str, version: u64) -> Option<Vec<[u8; 32]>> {
        self.agreed(model, version)
    }
}
