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
    /// Moment by which the upstream must have begun, since its weights are about
    /// to be replaced.
    pub begin_by: Option<domain::Moment>,
    /// Tokens of the prompt that the upstream has yet to read.
    pub unread: u32,
    /// When the request got the place.
    pub since: domain::Moment,
    /// When its first event arrived.
    pub first: Option<domain::Moment>,
}

impl<P: Platform> Hold<P> {
    /// Records that the first event has arrived.
    pub fn started(&mut self) {
        self.first.get_or_insert_with(domain::now);
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.desk.note(self, |s| s.record_prefill(unread));
            self.desk.pump(&self.service);
        }
    }
}

impl<P: Platform> Drop for Hold<P> {
    fn drop(&mut self) {
        let unread = self.unread;
        self.desk.note(self, |s| {
            s.record_prefill(unread);
            s.record_end();
        });
        self.desk.pump(&self.service);
    }
}
