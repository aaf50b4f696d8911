//! Choice of an upstream for a request, without I/O, clocks or allocation.

mod candidate;
mod choice;
mod homes;

pub use candidate::{Candidate, Distance};
pub use choice::{Choice, Prefix, Query, choose};
pub use homes::Homes;
