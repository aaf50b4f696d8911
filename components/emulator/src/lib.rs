//! Engines by the published cost model, entries that run the production
//! decisions, and callers with their patience, in virtual time and seeded.
//!
//! Only model engines are emulated: plain services are never short in the loads
//! that these experiments are about. Networks have a fixed delay and lose nothing.

mod baselines;
mod callers;
mod emulation;
mod engine;
mod pattern;
mod plot;
mod policy;
mod production_policy;
mod report;
mod request;

pub use baselines::{FirstCome, RefuseFull, RoundRobin};
pub use callers::{Kind, kinds};
pub use emulation::{Emulation, FleetSize};
pub use engine::{Engine, EngineEvent, engine_spec};
pub use pattern::Pattern;
pub use plot::svg_chart;
pub use policy::{Decision, EngineState, Policy, PolicyName};
pub use production_policy::ProductionPolicy;
pub use report::{CallOutcome, Report};
pub use request::Request;
