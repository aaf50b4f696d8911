use derive_more::{Display, Error};

/// Why the kernel refused a registration or a lookup.
#[derive(Debug, Display, Error)]
pub enum KernelError {
    /// Two services have the same name.
    #[display("kernel: service {name} is registered twice; give each service its own name")]
    Duplicate {
        /// Name of the service.
        name: &'static str,
    },
    /// No service of that name and type is registered.
    #[display("kernel: service {name} is not registered; add it before the kernel starts")]
    Missing {
        /// Name of the service.
        name: &'static str,
    },
}
