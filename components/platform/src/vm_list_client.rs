use std::net::SocketAddr;

use fleet::Member;
use http_types::Method;
use serde::{Deserialize, Serialize};
use wire::{Call, Client};

use crate::PlatformError;

/// Longest list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The list of VMs as the platform returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Changes with every change of the list.
    pub version: u64,
    /// VMs that are live or leaving.
    pub vms: Vec<Member>,
}

/// A client of the platform's list of VMs.
#[derive(Clone)]
pub struct VmListClient {
    addr: SocketAddr,
    client: Client,
}

impl VmListClient {
    /// A client of the list at `addr`.
    pub fn new(addr: SocketAddr, client: Client) -> Self {
        VmListClient { addr, client }
    }

    /// Reads the list; `None` if it has not changed since `version`.
    pub async fn read(&self, version: u64) -> Result<Option<VmListing>, PlatformError> {
        let call = "vms";
        let path = format!("/vms?since={version}");
        let response = self
            .client
            .send(Call::new(Method::Get, self.addr, &path)?)
            .await?;
        let status = u16::from(response.status());
        let bytes = response.bytes(MAX_LIST_BYTES).await?;
        match status {
            200 => serde_json::from_slice(&bytes).map(Some).map_err(|e| {
                PlatformError::InvalidResponse {
                    call,
                    reason: e.to_string(),
                }
            }),
            204 => Ok(None),
            status => Err(PlatformError::Refused { call, status }),
        }
    }
}
