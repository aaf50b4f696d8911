//! Members of the fleet, rendezvous hashing, subsets of upstreams and the timing
//! of heartbeats.

mod heartbeat_timing;
mod member;
mod rank;
mod subset;

pub use heartbeat_timing::HeartbeatTiming;
pub use member::{Member, Role, VmState};
pub use rank::{id_hash, mix, pair_hash, sort_by_rank};
pub use subset::subset;
