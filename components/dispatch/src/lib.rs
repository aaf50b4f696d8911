//! Decisions about live requests and weights, without I/O or clocks.
//!
//! Each type takes the current moment and an event and returns what to do next.

mod acceptance;
mod attempts;
mod config_freshness;
mod connection_budget;
mod crash_evidence;
mod crash_watch;
mod demand;
mod digest_search;
mod event_splitter;
mod evidence_report;
mod feature;
mod first_attempt_estimator;
mod fleet_view;
mod latency_model;
mod limit_statement;
mod mirror;
mod notice_rounds;
mod origin_order;
mod peer_loads;
mod piece_set;
mod pooled_upstream;
mod pulse;
mod rate_limit;
mod rate_share;
mod request_queue;
mod retry_budget;
mod send_gates;
mod service_scheduler;
mod swarm;
mod switch_plan;
mod switch_reason;
mod upstream_owners;
mod upstream_pool;
mod upstream_start;
mod window_budget;
mod write_time;

pub use acceptance::Acceptance;
pub use attempts::{AttemptEnd, Attempts};
pub use config_freshness::{ConfigFreshness, ConfigStatus, ReadTiming};
pub use connection_budget::ConnectionBudget;
pub use crash_watch::{CrashWatch, ExchangeEnd, NextCheck, Verdict};
pub use demand::Demand;
pub use digest_search::{DigestRound, DigestSearch};
pub use event_splitter::EventSplitter;
pub use evidence_report::{CrashReport, EvidenceReport, StartId};
pub use feature::Feature;
pub use first_attempt_estimator::FirstAttemptEstimator;
pub use fleet_view::{FleetView, ViewChange};
pub use latency_model::LatencyModel;
pub use limit_statement::LimitStatement;
pub use mirror::{Mirror, RestoredState};
pub use notice_rounds::NoticeRounds;
pub use origin_order::OriginOrder;
pub use peer_loads::PeerLoads;
pub use piece_set::PieceSet;
pub use pooled_upstream::{PooledUpstream, UpstreamLoad};
pub use pulse::Pulse;
pub use rate_limit::RateLimit;
pub use rate_share::RateShare;
pub use request_queue::{EnqueueResult, QueueLimits, QueuedRequest, RequestQueue};
pub use retry_budget::RetryBudget;
pub use send_gates::SendGates;
pub use service_scheduler::{
    Assignment, IncomingRequest, NO_MATCH_RETRY, Placement, ServiceScheduler,
};
pub use swarm::{FetchFailure, Holder, PieceFetch, PieceSource, Swarm, SwarmStep};
pub use switch_plan::{SwitchPlan, SwitchStep, VersionCandidate};
pub use switch_reason::SwitchReason;
pub use upstream_owners::{EntryDemand, Ownership, UpstreamOwners};
pub use upstream_pool::{Choice, Requirements, UpstreamPool};
pub use upstream_start::{upstream_start, upstream_tag};
pub use window_budget::WindowBudget;
pub use write_time::{WriteBasis, WriteTime};
