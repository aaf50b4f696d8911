use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Load of an upstream, as its agent reports it.
///
/// Its display form is the value of the header [`crate::headers::LOAD`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{limit} {in_flight} {service_us}")]
pub struct Load {
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Requests in flight or waiting at the agent. The load in the response to a run
    /// does not include that run.
    pub in_flight: u32,
    /// Typical service time in microseconds.
    pub service_us: u32,
}

impl FromStr for Load {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("invalid load {s:?}, expected three integers");
        let mut parts = s
            .split(' ')
            .map(|p| p.parse::<u32>().map_err(|_| invalid()));
        let mut next = || parts.next().ok_or_else(invalid)?;
        Ok(Load {
            limit: next()?,
            in_flight: next()?,
            service_us: next()?,
        })
    }
}
