use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::WriteBasis;
use domain::{Era, ModelId, Moment, Platform, RecordStore, millis, now};
use http::Method;
use smol::Timer;
use transport::fetch;

use crate::Feed;
use crate::batch::{BatchKind, BatchResult};
use crate::feed::log_bound;
use crate::peer_messages::{RECORDS_PATH, RawBatch, RecordsRequest, RecordsResponse};
use crate::topic::{Role, Topic};

/// Longest wait for a response from a peer.
pub(crate) const PEER_LIMIT: Duration = Duration::from_millis(400);
/// Most peers from which records are requested, one after another, when the store
/// fails.
const MAX_PEERS_TRIED: usize = 2;
/// Longest response from a peer, in bytes.
const RESPONSE_LIMIT: usize = 8 << 20;
/// A peer whose last confirmation is younger than this is assumed to be able to
/// read the store.
pub(crate) const PEER_FRESH: Duration = Duration::from_millis(2400);
/// Most requests for the ages of versions after the start of the process.
const AGE_REQUESTS: usize = 8;
/// Pause before each of these requests.
const AGE_PAUSE: Duration = Duration::from_millis(250);

/// Exchange of records between processes.
impl<P: Platform> Feed<P> {
    /// Fetches missing records from another entry; returns false if none responds.
    pub(crate) async fn fetch_records(&self) -> bool {
        let peers = match self.role {
            // Lists of records are long, and links between regions are slow.
            Role::Agent => self.nearest_entries(),
            // An entry nearby may be unable to reach the store as well.
            Role::Entry => {
                let mut peers = self.peers();
                fastrand::shuffle(&mut peers);
                peers
            }
        };
        for addr in peers.into_iter().take(MAX_PEERS_TRIED) {
            match self.fetch_records_from(addr).await {
                Ok(()) => return true,
                Err(e) => log::debug!("feed: no records from peer {addr}: {e:#}"),
            }
        }
        false
    }

    /// Addresses of the other entries: the announced ones and the seeds.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.members().iter().map(|m| m.addr).collect();
        for seed in &self.node.seeds {
            let addr = SocketAddr::new(seed.ip(), self.node.peer_port);
            if seed.ip() != self.node.ip && !peers.contains(&addr) {
                peers.push(addr);
            }
        }
        peers
    }

    async fn fetch_records_from(&self, addr: SocketAddr) -> anyhow::Result<()> {
        let sent_at = now();
        let (from, eras) = {
            let state = self.state();
            // Agents get the part of the operators' records that they need with the
            // target versions.
            let is_requested = |t: &Topic| self.role == Role::Entry || *t != Topic::Fleet;
            let end = |t: Topic| state.mirrors[t.index()].end().unwrap_or(0);
            let from = Topic::ALL.map(|t| Some(t).filter(is_requested).map(end));
            (from, Topic::ALL.map(|t| state.mirrors[t.index()].era()))
        };
        let records = self.request_records(addr, from, eras).await?;
        // A peer that does not know all removals since then can send the state.
        let state_of = |t: Topic| {
            let missing = records.topics[t.index()].is_none();
            (missing && from[t.index()] > Some(0)).then_some(0)
        };
        let states = Topic::ALL.map(state_of);
        let mut applied = self.apply_batches(from, eras, records.topics);
        if states.iter().any(Option::is_some) {
            let topics = self.request_records(addr, states, eras).await?.topics;
            let states = self.apply_batches(states, eras, topics);
            applied = Topic::ALL.map(|t| applied[t.index()] || states[t.index()]);
        }
        self.merge_declared(sent_at, &records.declared);
        // Without the records themselves, the age of the peer's says nothing here.
        let is_current = match self.role {
            Role::Entry => applied[Topic::Fleet.index()],
            Role::Agent => applied[Topic::Upstreams.index()],
        };
        if let Some(age) = records.age.filter(|_| is_current) {
            if Duration::from_millis(age) < PEER_FRESH {
                self.state().view.record_peer_access(sent_at);
            } else {
                self.state().freshness.record_stale_peer(sent_at);
            }
            // The peer computed the age after the request was sent, so counting back
            // from `sent_at` gives the earliest time of the confirmation.
            let confirmed_at = sent_at.saturating_sub(Duration::from_millis(age));
            let mut state = self.state();
            if !state.config_is_lost() {
                state.freshness.confirm(confirmed_at);
            }
        }
        Ok(())
    }

    /// Requests the records of each topic from an offset on, which is of an era.
    async fn request_records(
        &self,
        addr: SocketAddr,
        from: [Option<u64>; 3],
        eras: [Era; 3],
    ) -> anyhow::Result<RecordsResponse> {
        let body = Bytes::from(rmp_serde::to_vec(&RecordsRequest { from, eras })?);
        let (method, limit) = (Method::POST, PEER_LIMIT);
        let response = fetch(
            &self.pool,
            addr,
            method,
            RECORDS_PATH,
            body,
            limit,
            RESPONSE_LIMIT,
        )
        .await?;
        anyhow::ensure!(response.status == 200, "status {}", response.status);
        Ok(rmp_serde::from_slice(&response.body)?)
    }

    /// Applies the batches that a peer sent for a request of records `from` these offsets;
    /// and eras; returns for which topics they were applied.
    fn apply_batches(
        &self,
        from: [Option<u64>; 3],
        eras: [Era; 3],
        topics: [Option<RawBatch>; 3],
    ) -> [bool; 3] {
        let mut applied = [false; 3];
        for (topic, batch) in Topic::ALL.into_iter().zip(topics) {
            let Some(batch) = batch else { continue };
            let written = self.state().freshness.since_last_read(WriteBasis::Peer);
            // In a newer era, a peer sends the state.
            let kind = match from[topic.index()] {
                Some(from) if from > 0 && batch.era == eras[topic.index()] => BatchKind::Records,
                _ => BatchKind::State,
            };
            self.platform.store().learn_era(batch.era);
            let result = self.apply(topic, batch.into(), kind, written);
            applied[topic.index()] = result == BatchResult::Applied;
        }
        applied
    }

    /// Merges the declared versions in a peer's response. They come with their ages in
    /// milliseconds, which are counted back from `sent_at`.
    pub(crate) fn merge_declared(&self, sent_at: Moment, declared: &[(ModelId, Vec<(u64, u64)>)]) {
        let mut state = self.state();
        for (model, versions) in declared {
            let declared_at =
                |(v, age): &(u64, u64)| (*v, sent_at.saturating_sub(Duration::from_millis(*age)));
            let versions: Vec<_> = versions.iter().map(declared_at).collect();
            for (version, at) in state.view.merge_declared(model, &versions) {
                log_bound(&state.view, model, version, at, WriteBasis::Peer);
            }
        }
    }

    /// Fetches from peers the declaration times of versions that were declared
    /// before this process started.
    pub(crate) async fn fetch_ages(self: Arc<Self>) {
        for _ in 0..AGE_REQUESTS {
            Timer::after(AGE_PAUSE).await;
            let unknown = self.view(|v| {
                let mut versions = v.all_declared().flat_map(|(_, list)| list.iter());
                versions.any(|(_, at)| at.is_zero())
            });
            if unknown {
                self.fetch_records().await;
            }
        }
    }

    /// Responds to a peer's request for records.
    pub(crate) fn records(&self, request: &RecordsRequest) -> RecordsResponse {
        let state = self.state();
        let topics = Topic::ALL.map(|t| {
            let from = request.from[t.index()]?;
            let mirror = &state.mirrors[t.index()];
            let from = match request.eras[t.index()].cmp(&mirror.era()) {
                Ordering::Equal => from,
                // The offset is of an older era.
                Ordering::Less => 0,
                Ordering::Greater => return None,
            };
            mirror.since(from).map(Into::into)
        });
        let now = now();
        let resumed = state.pulse.resumed(now);
        let age = state.freshness.age_for_peers(now, resumed);
        let ages = |versions: &[(u64, Moment)]| {
            let known = versions.iter().filter(|(_, at)| !at.is_zero());
            known
                .map(|(v, at)| (*v, millis(now.saturating_sub(*at))))
                .collect()
        };
        let declared = state.view.all_declared();
        let declared = declared.map(|(m, list)| (m.clone(), ages(list))).collect();
        RecordsResponse {
            topics,
            declared,
            age: age.map(millis),
        }
    }
}
