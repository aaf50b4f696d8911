use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Requests whose answers have not ended, with the times of their arrival.
#[derive(Debug, Clone, Default)]
pub struct OpenAnswers(Arc<Mutex<HashMap<CompactString, Instant>>>);

impl OpenAnswers {
    /// Adds a request that was just read.
    pub fn add(&self, request: CompactString) {
        self.lock().insert(request, Instant::now());
    }

    /// Removes a request; returns its age if it was there.
    pub fn remove(&self, request: &str) -> Option<Duration> {
        self.lock().remove(request).map(|at| at.elapsed())
    }

    /// Removes all requests and returns them with their ages.
    pub fn take(&self) -> Vec<(CompactString, Duration)> {
        let open = std::mem::take(&mut *self.lock());
        open.into_iter()
            .map(|(id, at)| (id, at.elapsed()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CompactString, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
