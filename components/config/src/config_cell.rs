use std::sync::{Arc, Mutex, PoisonError};

use event_listener::{Event, EventListener};

use crate::{Declaration, Digest, Snapshot};

/// A configuration with its checked text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The configuration as it is handed on.
    pub snapshot: Snapshot,
    /// Its checked text.
    pub declaration: Declaration,
    /// Digest of its text.
    pub digest: Digest,
}

/// The configuration in force in this process. Its revision never decreases.
#[derive(Default)]
pub struct ConfigCell {
    current: Mutex<Option<Arc<ActiveConfig>>>,
    changed: Event,
}

impl ConfigCell {
    /// The configuration in force.
    pub fn get(&self) -> Option<Arc<ActiveConfig>> {
        self.lock().clone()
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.lock().as_ref().map_or(0, |c| c.snapshot.revision)
    }

    /// Puts a configuration in force if its revision is higher; true when it was.
    pub fn activate(&self, snapshot: &Snapshot) -> bool {
        if snapshot.revision <= self.revision() {
            return false;
        }
        let Some(declaration) = snapshot.declaration() else {
            log::error!(
                "config: revision {} does not pass the checks of this release; upgrade the process",
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
            log::info!("config: revision {} is in force", next.snapshot.revision);
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
