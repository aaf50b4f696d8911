//! The operators' configuration, the settings of each process, and the state that
//! the configuration log determines.

mod config_cell;
mod config_state;
mod declaration;
mod digest;
mod error;
mod ids;
mod model;
mod parse;
mod raw_declaration;
mod record;
mod service;
mod settings;
mod snapshot;

pub use config_cell::{ActiveConfig, ConfigCell};
pub use config_state::{ConfigState, ReplayError, Verdict};
pub use declaration::{ClientAccount, Declaration, FailureDomain};
pub use digest::Digest;
pub use error::ConfigError;
pub use ids::{ClientAccountId, FailureDomainId, ModelId, RegionId, ServiceId, VersionId, VmId};
pub use model::Model;
pub use parse::parse_json;
pub use raw_declaration::{RawDeclaration, RawRoute, RawService};
pub use record::{Checkpoint, CrashReport, Proposal, Record};
pub use service::{Fencing, Route, Service};
pub use settings::{AgentSettings, EntrySettings, NodeSettings, PlatformSettings};
pub use snapshot::Snapshot;
