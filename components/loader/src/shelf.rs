use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use domain::{EngineApi, EngineError, ModelId, WeightVersion};
use feed::{PieceLookup, PieceProvider};
use pieces::{Depot, Digests};

/// The pieces on this VM: in memory while a version is being brought, staged at
/// the engine once it is complete.
pub struct Shelf<E> {
    /// What is in memory.
    pub depot: Arc<Depot>,
    engines: E,
    engine: SocketAddr,
    /// Version whose pieces are staged.
    staged: Mutex<Option<(ModelId, WeightVersion)>>,
}

impl<E: EngineApi> Shelf<E> {
    /// The shelf at the engine with address `engine` on a VM whose link carries
    /// `link` bytes a second.
    pub fn new(engines: E, engine: SocketAddr, link: f64) -> Self {
        Shelf {
            depot: Arc::new(Depot::new(link)),
            engines,
            engine,
            staged: Mutex::default(),
        }
    }

    /// Takes the version as staged, for example because the engine serves it.
    pub fn note_staged(&self, model: &str, version: WeightVersion) {
        *self.staged() = Some((model.into(), version));
    }

    /// Nothing is known to be staged, for example after a restart of the engine.
    pub fn forget_staged(&self) {
        *self.staged() = None;
    }

    /// Whether a version is staged as far as is known.
    pub fn is_staged(&self, model: &str, version: WeightVersion) -> bool {
        *self.staged() == Some((model.into(), version))
    }

    /// Stages what is in memory of a version.
    pub async fn stage(&self, model: &str, version: WeightVersion) -> Result<(), EngineError> {
        self.forget_staged();
        for (number, bytes) in self.depot.pieces(model, version) {
            let staging = self.engines.stage_piece(self.engine, model, number, bytes);
            staging.await?;
        }
        self.note_staged(model, version);
        Ok(())
    }

    /// Puts what survived a restart of the engine or of this process into memory.
    pub async fn restore(&self, model: &str, version: WeightVersion) {
        let staged = match self.engines.staged_pieces(self.engine, model).await {
            Ok(staged) => staged,
            Err(e) => {
                log::info!("shelf: staged pieces not listed: {e}");
                return;
            }
        };
        // One look tells whether another version lies there.
        for number in staged {
            let Some(bytes) = self.verified(model, version, number).await else {
                break;
            };
            self.depot.keep(model, version, number, bytes);
        }
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
        read.filter(|bytes| self.depot.is_piece(model, version, number, bytes))
    }

    fn staged(&self) -> MutexGuard<'_, Option<(ModelId, WeightVersion)>> {
        self.staged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<E: EngineApi> PieceProvider for Shelf<E> {
    async fn piece(&self, model: &str, version: u64, number: u32) -> PieceLookup {
        let staged = async {
            match self.is_staged(model, version) {
                true => self.verified(model, version, number).await,
                false => None,
            }
        };
        self.depot.give(model, version, number, staged).await
    }

    fn digests(&self, model: &str, version: u64) -> Option<Digests> {
        self.depot.digests(model, version)
    }
}
