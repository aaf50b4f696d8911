use serde::{Deserialize, Serialize};

/// What requests that crash upstreams may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Feature {
    /// Fingerprint of a whole request.
    #[serde(rename = "r")]
    Request(u64),
    /// Id of a part of the prompt.
    #[serde(rename = "p")]
    Part(u64),
}

impl Feature {
    /// Whether it is a part of a prompt.
    pub(crate) fn is_part(self) -> bool {
        matches!(self, Feature::Part(_))
    }

    /// Crashes in sequence after which requests with the feature are refused. A part
    /// also belongs to requests that did not crash anything, so it takes more.
    pub(crate) fn min_crashes(self) -> usize {
        match self {
            Feature::Request(_) => 2,
            Feature::Part(_) => 3,
        }
    }
}
