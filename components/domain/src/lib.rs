//! Types shared by the dispatch logic, the services and the platform adapter.

mod clock;
mod fleet_config;
mod ids;
mod message_head;
mod model_source;
mod pace;
mod platform;
mod record_store;
mod route;
mod send_gate;
mod service_spec;
mod settings;
mod upstream;

pub use clock::{Moment, millis, now, unix_ms};
pub use fleet_config::{Account, CallerLimits, FleetConfig};
pub use ids::*;
pub use message_head::{PromptPart, RequestHead, ResponseHead, StatedLimit, TokenCount};
pub use model_source::ModelSource;
pub use pace::{Pace, PaceError};
pub use platform::{
    BadRecord, Dialect, EngineApi, EngineError, EngineSession, FleetRecord, ForwardParams,
    LoadOrder, Platform, RequestError, Target,
};
pub use record_store::{ReadOutcome, Record, RecordBatch, RecordStore, StoreError};
pub use route::{RequestKind, Route};
pub use send_gate::{GateStatus, SendGate};
pub use service_spec::{EngineSpec, PieceSpec, ServiceSpec};
pub use settings::{AgentSettings, Bounds, ClientLimits, EntrySettings, NodeSettings};
pub use upstream::{EngineStatus, HeldModel, Upstream, UpstreamState};
