use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use config::{ConfigCell, Snapshot};
use http_types::Method;
use kernel::{BoxFuture, Registry, Service};
use protocol::{Heartbeat, paths};
use wire::{Call, Client, WireError};

/// Largest configuration taken from an entry.
const SNAPSHOT_LIMIT: usize = 4 << 20;

/// Takes the configuration from the entries that send heartbeats.
pub struct ConfigFollower {
    cell: Arc<ConfigCell>,
    client: Client,
    busy: Arc<AtomicBool>,
}

impl ConfigFollower {
    /// Name in the registry.
    pub const NAME: &'static str = "config";

    /// A follower without a configuration.
    pub fn new(client: Client) -> Self {
        ConfigFollower {
            cell: Arc::new(ConfigCell::default()),
            client,
            busy: Arc::new(AtomicBool::new(false)),
        }
    }

    /// The configuration in force.
    pub fn cell(&self) -> &Arc<ConfigCell> {
        &self.cell
    }

    /// Notes an entry's revision and fetches it when it is higher.
    pub fn fetch_if_newer(&self, heartbeat: &Heartbeat) {
        if heartbeat.revision <= self.cell.revision() || self.busy.swap(true, Ordering::Relaxed) {
            return;
        }
        let (cell, client) = (self.cell.clone(), self.client.clone());
        let (busy, addr) = (self.busy.clone(), heartbeat.addr);
        smol::spawn(async move {
            match fetch(&client, addr).await {
                Ok(Some(snapshot)) => drop(cell.activate(&snapshot)),
                Ok(None) => {}
                Err(e) => log::warn!("config: not fetched from {addr}: {e}"),
            }
            busy.store(false, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn fetch(client: &Client, addr: SocketAddr) -> Result<Option<Snapshot>, WireError> {
    let reply = client
        .send(Call::new(Method::Get, addr, paths::SNAPSHOT)?)
        .await?;
    if u16::from(reply.status()) != 200 {
        return Ok(None);
    }
    let bytes = reply.bytes(SNAPSHOT_LIMIT).await?;
    wire::decode(&bytes).map(Some)
}

impl Service for ConfigFollower {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, _peers: &Registry) -> anyhow::Result<()> {
        Ok(())
    }

    fn stop(&self, _limit: Duration) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}
