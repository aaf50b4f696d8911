use std::sync::{Arc, Mutex, PoisonError};

use event_listener::{Event, EventListener};

use crate::{Declaration, Digest, Snapshot};

/// The active configuration, with its checked declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The configuration as processes exchange it.
    pub snapshot: Snapshot,
    /// Its checked declaration.
    pub declaration: Declaration,
    /// Digest of its JSON text.
    pub digest: Digest,
}

/// The active configuration of this process. Its revision never decreases.
#[derive(Default)]
pub struct ConfigCell {
    current: Mutex<Option<Arc<ActiveConfig>>>,
    changed: Event,
}

impl ConfigCell {
    /// The active configuration; `None` before the first.
    pub fn get(&self) -> Option<Arc<ActiveConfig>> {
        self.lock().clone()
    }

    /// Active revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.lock().as_ref().map_or(0, |c| c.snapshot.revision)
    }

    /// Activates a configuration if its revision is higher than the active one;
    /// returns whether it did.
    pub fn activate(&self, snapshot: &Snapshot) -> bool {
        if snapshot.revision <= self.revision() {
            return false;
        }
        let Some(declaration) = snapshot.declaration() else {
            log::error!(
                "config: revision {} is not valid in this release; upgrade the process",
                snapshot.revision
            );
            return false;
        };
        let next = Arc::new(ActiveConfig {
            digest: snapshot.digest(),
            snapshot: snapshot.clone(),
            declaration,
        });
        let mut current = self.lock();
        let newer = current
            .as_ref()
            .is_none_or(|c| c.snapshot.revision < next.snapshot.revision);
        if newer {
            log::info!("config: revision {} is active", next.snapshot.revision);
            *current = Some(next);
            drop(current);
            self.changed.notify(usize::MAX);
        }
        newer
    }

    /// Resolves at the next change after this call.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<ActiveConfig>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
