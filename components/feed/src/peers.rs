use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dispatch::Mirror;
use domain::{ModelId, Moment, Platform, millis, now};
use http::Method;
use smol::Timer;
use transport::fetch;

use crate::Feed;
use crate::peer_messages::{RECORDS_PATH, RecordsRequest, RecordsResponse};
use crate::topic::{Role, Topic};

/// Longest wait for a peer.
pub(crate) const PEER_LIMIT: Duration = Duration::from_millis(400);
/// Peers asked when the store fails.
const PEERS_ASKED: usize = 2;
/// Longest answer of a peer, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Age of a peer's confirmation up to which it can read the store.
pub(crate) const PEER_FRESH: Duration = Duration::from_millis(2400);
/// Questions for the ages of versions after the start.
const AGE_QUESTIONS: usize = 8;
/// Pause before each of them.
const AGE_PAUSE: Duration = Duration::from_millis(250);

/// What processes tell each other of the records.
impl<P: Platform> Feed<P> {
    /// Takes what is missing from other entries; false when none answers.
    pub(crate) async fn ask_peers(&self) -> bool {
        let peers = match self.role {
            // Lists are long, and lines between regions are thin.
            Role::Agent => self.near_entries(),
            // A near entry may have lost the store as well.
            Role::Entry => {
                let mut peers = self.peers();
                fastrand::shuffle(&mut peers);
                peers
            }
        };
        for addr in peers.into_iter().take(PEERS_ASKED) {
            match self.ask(addr).await {
                Ok(()) => return true,
                Err(e) => log::debug!("feed: peer {addr} did not help: {e:#}"),
            }
        }
        false
    }

    /// Entries that may answer, the announced ones and those of the settings.
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

    async fn ask(&self, addr: SocketAddr) -> anyhow::Result<()> {
        let asked = now();
        let from = {
            let state = self.state();
            // Agents hear what they need of the operators' records apart.
            let wanted = |t: &Topic| self.role == Role::Entry || *t != Topic::Fleet;
            let end = |t: Topic| state.mirrors[t.index()].end().unwrap_or(0);
            Topic::ALL.map(|t| Some(t).filter(wanted).map(end))
        };
        let body = Bytes::from(rmp_serde::to_vec(&RecordsRequest { from })?);
        let (method, limit) = (Method::POST, PEER_LIMIT);
        let answer = fetch(
            &self.pool,
            addr,
            method,
            RECORDS_PATH,
            body,
            limit,
            ANSWER_LIMIT,
        )
        .await?;
        anyhow::ensure!(answer.status == 200, "status {}", answer.status);
        let records: RecordsResponse = rmp_serde::from_slice(&answer.body)?;
        for (topic, batch) in Topic::ALL.into_iter().zip(records.topics) {
            let Some(batch) = batch else { continue };
            let written = self.state().confirmation.at().unwrap_or_default();
            self.apply(topic, batch.into(), Mirror::extend, written);
        }
        self.learn_declared(asked, &records.declared);
        if let Some(age) = records.age {
            if Duration::from_millis(age) < PEER_FRESH {
                self.state().view.store_elsewhere(asked);
            }
            // The peer's age counts from when it was asked at the earliest.
            let at = asked.saturating_sub(Duration::from_millis(age));
            self.state().confirmation.confirm(at);
        }
        Ok(())
    }

    pub(crate) fn learn_declared(&self, asked: Moment, declared: &[(ModelId, Vec<(u64, u64)>)]) {
        let mut state = self.state();
        for (model, versions) in declared {
            let moment =
                |(v, age): &(u64, u64)| (*v, asked.saturating_sub(Duration::from_millis(*age)));
            let versions: Vec<_> = versions.iter().map(moment).collect();
            state.view.declared_elsewhere(model, &versions);
        }
    }

    /// Asks peers when versions were declared that were so before the start of
    /// this process.
    pub(crate) async fn learn_ages(self: Arc<Self>) {
        for _ in 0..AGE_QUESTIONS {
            Timer::after(AGE_PAUSE).await;
            let unknown = self.view(|v| {
                let mut versions = v.all_declared().flat_map(|(_, l)| l.iter());
                versions.any(|(_, at)| at.is_zero())
            });
            if unknown {
                self.ask_peers().await;
            }
        }
    }

    /// Answers a peer's question for records.
    pub(crate) fn answer(&self, question: &RecordsRequest) -> RecordsResponse {
        let state = self.state();
        let topics = Topic::ALL.map(|t| {
            let from = question.from[t.index()]?;
            state.mirrors[t.index()].since(from).map(Into::into)
        });
        let age = state
            .confirmation
            .at()
            .map(|at: Moment| now().saturating_sub(at));
        let ages = |versions: &[(u64, Moment)]| {
            let known = versions.iter().filter(|(_, at)| !at.is_zero());
            known
                .map(|(v, at)| (*v, millis(now().saturating_sub(*at))))
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
