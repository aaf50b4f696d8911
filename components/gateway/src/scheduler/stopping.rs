use std::net::SocketAddr;
use std::time::Duration;

use domain::{Moment, Platform, VmId, millis, now};
use feed::StoppingNotice;
use serde_json::json;
use telemetry::{Outcome, decision};

use super::Scheduler;
use super::state::Peer;

/// Stops that are this close count as simultaneous, as notices take a moment.
const SAME_STOP: Duration = Duration::from_millis(100);
/// Time for which an entry accepts requests after its stop unless it ends early.
const ACCEPT_TIME: Duration = Duration::from_secs(2);

/// Another entry that is stopping.
#[derive(Debug, Clone, Copy)]
pub struct StoppingPeer {
    /// Address for notices to it.
    addr: SocketAddr,
    /// When it was stopped.
    since: Moment,
}

/// The part of an entry in a stop of several.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOrder {
    /// Another entry accepts requests, or no other one is heard.
    Single,
    /// All entries that are heard are stopping, most of them later than this one: the sooner
    /// it ends, the sooner its successor accepts requests.
    Earlier,
    /// The same, most of them not later: it has to accept requests until then.
    Later,
}

/// Entries that are stopping.
impl<P: Platform> Scheduler<P> {
    /// Tells the other entries from now on that this one is stopping.
    pub fn start_stopping(&self) {
        self.lock().stopping_since = Some(now());
    }

    /// Notice to the other entries while this one, started at `start`, is stopping.
    pub fn stopping_notice(&self, start: u64) -> Option<StoppingNotice> {
        let since = self.lock().stopping_since?;
        Some(StoppingNotice {
            vm: self.node.vm.clone(),
            start,
            age_ms: millis(now().saturating_sub(since)),
            addr: SocketAddr::new(self.node.ip, self.node.peer_port),
        })
    }

    /// Records that another entry is stopping.
    pub fn apply_stopping(&self, notice: &StoppingNotice) {
        let mut state = self.lock();
        let peer = state.peers.get_mut(&notice.vm);
        if let Some(peer) = peer.filter(|p| p.start == notice.start && p.stopping.is_none()) {
            peer.stopping = Some(StoppingPeer {
                addr: notice.addr,
                since: now().saturating_sub(Duration::from_millis(notice.age_ms)),
            });
            let fields = json!({ "entry": notice.vm });
            decision("desk", "entry stopping", Outcome::Change, fields);
        }
    }

    /// Addresses of the other entries that are stopping.
    pub fn stopping_peers(&self) -> Vec<SocketAddr> {
        let state = self.lock();
        let stopping = state.peers.values().filter_map(|p| p.stopping);
        stopping.map(|s| s.addr).collect()
    }

    /// Whether another entry is heard that is not stopping, or was stopped so late that it
    /// still accepts requests.
    pub fn hears_accepting(&self) -> bool {
        let state = self.lock();
        let own = state.stopping_since.unwrap_or_default();
        let accepts = |s: StoppingPeer| s.since > own && now() < s.since + ACCEPT_TIME;
        let mut peers = state.peers.values();
        peers.any(|p| p.stopping.is_none_or(accepts))
    }

    /// The part of this entry, which is stopping.
    pub fn stop_order(&self) -> StopOrder {
        let state = self.lock();
        let Some(own) = state.stopping_since else {
            return StopOrder::Single;
        };
        let stopping = |(vm, p): (&VmId, &Peer)| Some((vm.clone(), p.stopping?.since));
        let others: Option<Vec<(VmId, Moment)>> = state.peers.iter().map(stopping).collect();
        let Some(others) = others.filter(|o| !o.is_empty()) else {
            return StopOrder::Single;
        };
        let is_earlier = |(vm, since): &&(VmId, Moment)| match since.abs_diff(own) < SAME_STOP {
            true => *vm < self.node.vm,
            false => *since < own,
        };
        let earlier = others.iter().filter(is_earlier).count();
        match earlier < others.len().div_ceil(2) {
            true => StopOrder::Earlier,
            false => StopOrder::Later,
        }
    }
}
