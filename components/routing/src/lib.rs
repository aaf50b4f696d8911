//! Choice of an upstream for a request, without I/O, clocks or allocation.

mod candidate;
mod choice;

pub use candidate::{Candidate, Distance};
pub use choice::{Choice, Query, choose};
