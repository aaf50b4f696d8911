//! Who is in the fleet: the platform's list, ranks and subsets.

mod member;
mod pace;
mod rank;
mod subset;

pub use member::{Member, Role, VmState};
pub use pace::Pace;
pub use rank::{id_hash, mix, rank_order, weight};
pub use subset::subset;
