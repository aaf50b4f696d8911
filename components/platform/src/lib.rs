//! Clients of the platform's services: the append-only log, the list of VMs and the
//! origin of weights.

mod error;
mod log_client;
mod origin_client;
mod position;
mod vm_list_client;

pub use error::PlatformError;
pub use log_client::{LogClient, Page, streams};
pub use origin_client::OriginClient;
pub use position::Position;
pub use vm_list_client::{VmListClient, VmListing};
