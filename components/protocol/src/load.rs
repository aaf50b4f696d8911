use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an agent knows about the load of its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{limit} {in_flight} {service_us}")]
pub struct Load {
    /// Most requests the upstream may have in flight now.
    pub limit: u32,
    /// Requests in flight or waiting at the agent; on a reply without the one it
    /// answers.
    pub in_flight: u32,
    /// Typical service time in microseconds.
    pub service_us: u32,
}

impl FromStr for Load {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let wrong = || format!("{s:?} is not a load");
        let mut parts = s.split(' ').map(|p| p.parse::<u32>().map_err(|_| wrong()));
        let mut next = || parts.next().ok_or_else(wrong)?;
        Ok(Load {
            limit: next()?,
            in_flight: next()?,
            service_us: next()?,
        })
    }
}
