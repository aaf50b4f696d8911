//! Types that the decisions, the services and the platform adapter share.

mod ask;
mod clock;
mod ids;
mod journal;
mod plan;
mod platform;
mod route;
mod service_spec;
mod settings;
mod supply;
mod upstream;

pub use ask::{PromptPart, RequestHead, ResponseHead, TokenCount};
pub use clock::{Moment, millis, now};
pub use ids::*;
pub use journal::{ReadOutcome, Record, RecordBatch, RecordStore, StoreError};
pub use plan::{Account, CallerLimits, FleetConfig};
pub use platform::{
    BadRecord, Dialect, EngineApi, EngineError, FleetRecord, ForwardParams, Platform, RequestError,
    Target,
};
pub use route::{RequestKind, Route};
pub use service_spec::{EngineSpec, PieceSpec, ServiceSpec};
pub use settings::{AgentSettings, Bounds, EntrySettings, NodeSettings};
pub use supply::ModelSource;
pub use upstream::{EngineStatus, HeldModel, Upstream, UpstreamState};
