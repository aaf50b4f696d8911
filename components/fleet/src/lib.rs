//! Who is in the fleet: the platform's list, ranks and subsets.

mod heartbeat_timing;
mod member;
mod rank;
mod subset;

pub use heartbeat_timing::HeartbeatTiming;
pub use member::{Member, Role, VmState};
pub use rank::{id_hash, mix, pair_hash, sort_by_rank};
pub use subset::subset;
