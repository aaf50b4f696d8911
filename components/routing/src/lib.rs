//! Load balancing: the choice of an upstream for a request, without I/O, clocks or
//! allocation.

mod affinity_table;
mod candidate;
mod choice;

pub use affinity_table::AffinityTable;
pub use candidate::{Candidate, Distance};
pub use choice::{Choice, Criteria, Prefix, choose};
