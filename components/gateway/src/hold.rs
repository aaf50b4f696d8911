use std::sync::Arc;

use domain::{Platform, ServiceId, Target, WeightVersion};

use crate::desk::Desk;

/// A place at an upstream; dropping it gives the place back.
pub struct Hold<P: Platform> {
    pub(crate) desk: Arc<Desk<P>>,
    /// Service of the upstream.
    pub service: ServiceId,
    /// The upstream.
    pub target: Target,
    /// Number that stands for the upstream among entries.
    pub tag: u32,
    /// Start of the upstream.
    pub born: u64,
    /// Weight version that the upstream must still have.
    pub weights: Option<WeightVersion>,
}

impl<P: Platform> Drop for Hold<P> {
    fn drop(&mut self) {
        self.desk.release(&self.service, &self.target.id, self.born);
    }
}
