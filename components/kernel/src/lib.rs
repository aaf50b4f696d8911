//! Life cycle of a process: services register by name, start in order and stop in reverse.

mod clock;
mod error;
mod kernel;
mod registry;
mod service;

pub use clock::Clock;
pub use error::KernelError;
pub use kernel::Kernel;
pub use registry::Registry;
pub use service::{BoxFuture, Drain, Service};
