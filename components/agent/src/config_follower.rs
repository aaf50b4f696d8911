use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use config::{ConfigCell, Snapshot};
use http_types::Method;
use kernel::{BoxFuture, Drain, Registry, Service};
use protocol::{Heartbeat, paths};
use wire::{Call, Client, WireError};

/// Largest configuration accepted from an entry, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Keeps the configuration of the agent up to date from the entries that send it
/// heartbeats.
pub struct ConfigFollower {
    cell: Arc<ConfigCell>,
    client: Client,
    fetching: Arc<AtomicBool>,
}

impl ConfigFollower {
    /// Name in the registry.
    pub const NAME: &'static str = "config";

    /// A follower that has no configuration yet.
    pub fn new(client: Client) -> Self {
        ConfigFollower {
            cell: Arc::new(ConfigCell::default()),
            client,
            fetching: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Cell of the configuration in force.
    pub fn cell(&self) -> &Arc<ConfigCell> {
        &self.cell
    }

    /// Fetches and activates the configuration of an entry if its revision is higher and
    /// no other fetch is running.
    pub fn fetch_if_newer(&self, heartbeat: &Heartbeat) {
        if heartbeat.revision <= self.cell.revision() || self.fetching.swap(true, Ordering::Relaxed)
        {
            return;
        }
        let (cell, client) = (self.cell.clone(), self.client.clone());
        let (fetching, addr) = (self.fetching.clone(), heartbeat.addr);
        smol::spawn(async move {
            match fetch(&client, addr).await {
                Ok(Some(snapshot)) => drop(cell.activate(&snapshot)),
                Ok(None) => {}
                Err(e) => log::warn!("config: configuration could not be fetched from {addr}: {e}"),
            }
            fetching.store(false, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn fetch(client: &Client, addr: SocketAddr) -> Result<Option<Snapshot>, WireError> {
    let response = client
        .send(Call::new(Method::Get, addr, paths::SNAPSHOT)?)
        .await?;
    if u16::from(response.status()) != 200 {
        return Ok(None);
    }
    let bytes = response.bytes(MAX_SNAPSHOT_BYTES).await?;
    wire::decode(&bytes).map(Some)
}

impl Service for ConfigFollower {
    fn name(&self) -> &'static str {
        Self::NAME
    }

    fn start(&self, _registry: &Registry) -> anyhow::Result<()> {
        Ok(())
    }

    fn stop(&self, _timeout: Duration) -> BoxFuture<'_, Drain> {
        Box::pin(std::future::ready(Drain::Complete))
    }
}
