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
use crate::local_pieces::LocalPieces;

/// Maximum number of open connections from peers.
const MAX_PEER_CONNECTIONS: usize = 256;
/// Longest head of a peer's request, in bytes.
const MAX_PEER_HEAD: usize = 8 << 10;
/// Time after which an idle connection of a peer is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The agent process.
pub struct Loader<P: Platform> {
    platform: P,
    settings: AgentSettings,
    metrics: fn() -> String,
}

impl<P: Platform> Loader<P> {
    /// An agent with `settings`; `metrics` renders the page of metrics.
    pub fn new(platform: P, settings: AgentSettings, metrics: fn() -> String) -> Self {
        Loader {
            platform,
            settings,
            metrics,
        }
    }

    /// Runs until `stop` resolves.
    pub async fn run(self, stop: impl Future<Output = ()>) -> anyhow::Result<()> {
        let node = self.settings.node.clone();
        let addr = SocketAddr::new(node.ip, node.peer_port);
        let engines = self.platform.engines().clone();
        let local = Arc::new(LocalPieces::new(
            engines,
            self.settings.engine,
            node.link_rate,
        ));
        let feed = Arc::new(Feed::new(self.platform.clone(), node, Role::Agent, |_| {}));
        let handler = PeerHandler::new(feed.clone(), local.clone(), self.metrics);
        let limits = ListenerLimits {
            connections: MAX_PEER_CONNECTIONS,
            head_bytes: MAX_PEER_HEAD,
            head_fields: self.settings.node.clients.head_fields,
            head_timeout: self.settings.node.clients.head_time,
            idle_timeout: PEER_IDLE_TIMEOUT,
        };
        let listener = Arc::new(Listener::new(Arc::new(handler), limits));
        let socket = TcpListener::bind(addr).await;
        let socket = socket.with_context(|| format!("loader: cannot listen at {addr}"))?;
        let notice_socket = NoticeSocket::bind(addr)
            .await
            .context("loader: cannot receive notices")?;
        let fields = json!({ "engine": self.settings.engine });
        decision("loader", "started", Outcome::Change, fields);
        let agent = Agent::new(
            self.platform,
            self.settings,
            feed.clone(),
            local,
            Arc::new(notice_socket),
        );
        let agent = Arc::new(agent);
        let tasks = [
            spawn(async move { listener.accept(socket).await }),
            spawn(feed.follow()),
            spawn(agent.clone().watch()),
            spawn(agent.clone().receive_notices()),
            spawn(agent.clone().download_versions()),
            spawn(agent.load_versions()),
        ];
        stop.await;
        decision("loader", "stopped", Outcome::Change, json!({}));
        drop(tasks);
        Ok(())
    }
}
