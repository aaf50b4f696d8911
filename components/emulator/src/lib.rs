//! Emulates a fleet under load in virtual time: engines that follow the published
//! cost model, entries that run a scheduling policy, and callers with timeouts and
//! retries. The seed of a run determines its result.
//!
//! Only model engines are emulated: plain services are not overloaded by the load
//! patterns. The network has a fixed delay and loses nothing.

mod baselines;
mod emulation;
mod engine;
mod kind;
mod pattern;
mod plot;
mod policy;
mod production_policy;
mod report;
mod request;
mod retained_prompts;

pub use baselines::{FirstCome, RefuseFull, RoundRobin};
pub use emulation::{Emulation, FleetSize};
pub use engine::{Engine, EngineEvent, engine_spec};
pub use kind::{Kind, kinds};
pub use pattern::Pattern;
pub use plot::svg_chart;
pub use policy::{Decision, EngineState, Policy, PolicyName};
pub use production_policy::ProductionPolicy;
pub use report::{CallOutcome, Report};
pub use request::Request;
