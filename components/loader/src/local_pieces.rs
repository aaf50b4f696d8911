use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anyhow::bail;
use bytes::Bytes;
use domain::{EngineApi, EngineError, EngineSession, ModelId, WeightVersion, millis, now};
use feed::{PieceLookup, PieceProvider};
use pieces::{Digests, PieceCache};

use crate::doubts::{DoubtfulCall, Doubts};

/// The pieces on this VM: in memory while a version is downloaded, staged at the
/// engine once it is complete.
pub struct LocalPieces<E> {
    /// The pieces in memory.
    pub cache: Arc<PieceCache>,
    engines: E,
    engine: SocketAddr,
    /// Calls that may still change what is staged.
    pub doubts: Doubts,
    /// Version whose pieces are known to be staged.
    staged: Mutex<Option<(ModelId, WeightVersion)>>,
}

impl<E: EngineApi> LocalPieces<E> {
    /// The pieces at the engine with address `engine` on a VM with a link of
    /// `bandwidth` bytes per second.
    pub fn new(engines: E, engine: SocketAddr, bandwidth: f64) -> Self {
        LocalPieces {
            cache: Arc::new(PieceCache::new(bandwidth)),
            engines,
            engine,
            doubts: Doubts::default(),
            staged: Mutex::default(),
        }
    }

    /// Records that a version is staged, for example because the engine serves it.
    pub fn mark_staged(&self, model: &str, version: WeightVersion) {
        *self.staged() = Some((model.into(), version));
    }

    /// Records that no version is known to be staged, for example after a restart of
    /// the engine.
    pub fn clear_staged(&self) {
        *self.staged() = None;
    }

    /// Whether a version is known to be staged.
    pub fn is_staged(&self, model: &str, version: WeightVersion) -> bool {
        *self.staged() == Some((model.into(), version))
    }

    /// Fails if a call may still change what is staged from the pieces of a version to
    /// others.
    pub fn ensure_undisturbed(&self, model: &str, version: WeightVersion) -> anyhow::Result<()> {
        match self.doubts.endangering(model, version) {
            None => Ok(()),
            Some(call) => bail!("{call} may still be accepted; version {version} has to wait"),
        }
    }

    /// Stages the pieces of a version that are in memory.
    pub async fn stage(&self, model: &str, version: WeightVersion) -> anyhow::Result<()> {
        self.ensure_undisturbed(model, version)?;
        self.clear_staged();
        let mut session = self.engines.connect(self.engine).await?;
        for (number, bytes) in self.cache.pieces(model, version) {
            self.stage_piece(&mut session, model, version, number, bytes)
                .await?;
        }
        self.mark_staged(model, version);
        Ok(())
    }

    /// Stages the wrong ones among the pieces of a version again, as long as they are in
    /// memory.
    pub async fn repair(&self, model: &str, version: WeightVersion) -> anyhow::Result<()> {
        let mut session = self.engines.connect(self.engine).await?;
        for (number, bytes) in self.cache.pieces(model, version) {
            if self.read_verified(model, version, number).await.is_none() {
                self.stage_piece(&mut session, model, version, number, bytes)
                    .await?;
            }
        }
        Ok(())
    }

    async fn stage_piece(
        &self,
        session: &mut E::Session,
        model: &str,
        version: WeightVersion,
        number: u32,
        bytes: Bytes,
    ) -> Result<(), EngineError> {
        let called_at = now();
        let call = DoubtfulCall::Piece(model.into(), version);
        let call = self.doubts.begin(call, session.status());
        let staged = session.stage_piece(model, number, bytes).await;
        if !matches!(staged, Err(EngineError::NoResponse { .. })) {
            call.settle();
        }
        staged.inspect_err(|e| {
            log::warn!(
                "loader: piece {number} of version {version} not staged after {} ms: {e}",
                millis(now().saturating_sub(called_at))
            );
        })
    }

    /// Reads staged pieces that survived a restart of the engine or of this process
    /// into memory.
    pub async fn restore(&self, model: &str, version: WeightVersion) {
        let staged = match self.engines.staged_pieces(self.engine, model).await {
            Ok(staged) => staged,
            Err(e) => {
                log::info!("loader: staged pieces of {model} not listed: {e}");
                return;
            }
        };
        // The first wrong piece shows that another version is staged.
        for number in staged {
            let Some(bytes) = self.read_verified(model, version, number).await else {
                break;
            };
            self.cache.insert_verified(model, version, number, bytes);
        }
    }

    /// Reads a staged piece; none unless it has the trusted digest.
    pub async fn read_verified(
        &self,
        model: &str,
        version: WeightVersion,
        number: u32,
    ) -> Option<Bytes> {
        let read = self.engines.staged_piece(self.engine, model, number).await;
        let read = read.unwrap_or_else(|e| {
            log::warn!("loader: staged piece {number} of {model} not read: {e}");
            None
        });
        read.filter(|bytes| self.cache.matches_digest(model, version, number, bytes))
    }

    fn staged(&self) -> MutexGuard<'_, Option<(ModelId, WeightVersion)>> {
        self.staged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<E: EngineApi> PieceProvider for LocalPieces<E> {
    async fn piece(&self, model: &str, version: u64, number: u32) -> PieceLookup {
        let staged = async {
            match self.is_staged(model, version) {
                true => self.read_verified(model, version, number).await,
                false => None,
            }
        };
        self.cache.upload(model, version, number, staged).await
    }

    fn digests(&self, model: &str, version: u64) -> Option<Digests> {
        self.cache.digests(model, version)
    }
}
