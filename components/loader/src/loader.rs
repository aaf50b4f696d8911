use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use domain::{AgentSettings, Platform};
use feed::{Feed, NoticeSocket, PeerHandler, Role};
use serde_json::json;
use smol::net::TcpListener;
use telemetry::{Outcome, decision};
use transport::{Listener, ListenerLimits, spawn};

use crate::agent::Agent;
use crate::shelf::Shelf;

/// Connections that other agents may have open here.
const PEER_CONNECTIONS: usize = 256;
/// Longest head of a question of another agent, in bytes.
const PEER_HEAD: usize = 8 << 10;
/// Idle time of a connection of another agent.
const PEER_IDLE: Duration = Duration::from_secs(15);

/// The agent as a running process.
pub struct Loader<P: Platform> {
    platform: P,
    place: AgentSettings,
    metrics: fn() -> String,
}

impl<P: Platform> Loader<P> {
    /// An agent at `place`.
    pub fn new(platform: P, place: AgentSettings, metrics: fn() -> String) -> Self {
        Loader {
            platform,
            place,
            metrics,
        }
    }

    /// Runs until `stop` resolves.
    pub async fn run(self, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let node = self.place.node.clone();
        let inner = SocketAddr::new(node.ip, node.peer_port);
        let engines = self.platform.engines().clone();
        let shelf = Arc::new(Shelf::new(engines, self.place.engine, node.link_rate));
        let feed = Arc::new(Feed::new(self.platform.clone(), node, Role::Agent, |_| {}));
        let handler = PeerHandler::new(feed.clone(), shelf.clone(), self.metrics);
        let limits = ListenerLimits {
            connections: PEER_CONNECTIONS,
            head_bytes: PEER_HEAD,
            idle_timeout: PEER_IDLE,
        };
        let listener = Arc::new(Listener::new(Arc::new(handler), limits));
        let socket = TcpListener::bind(inner).await;
        let socket = socket.with_context(|| format!("loader: cannot listen at {inner}"))?;
        let post = NoticeSocket::bind(inner)
            .await
            .context("post: cannot listen")?;
        let fields = json!({ "engine": self.place.engine });
        decision("loader", "started", Outcome::Change, fields);
        let agent = Agent::new(
            self.platform,
            self.place,
            feed.clone(),
            shelf,
            Arc::new(post),
        );
        let agent = Arc::new(agent);
        let tasks = [
            spawn(async move { listener.accept(socket).await }),
            spawn(feed.follow()),
            spawn(agent.clone().watch()),
            spawn(agent.clone().hear()),
            spawn(agent.bring()),
        ];
        stop.await;
        decision("loader", "stopped", Outcome::Change, json!({}));
        drop(tasks);
        Ok(())
    }
}
