use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Declaration, Digest};

/// The active configuration, as processes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision; higher ones supersede lower ones.
    pub revision: u64,
    /// Offset of the first configuration record that is not included; 0 if the log lacks
    /// the configuration.
    pub as_of: u64,
    /// The declaration as JSON.
    pub text: Arc<str>,
    /// Era of the log that the offset belongs to. It is left out before the first restore:
    /// processes of earlier releases do not know it.
    #[serde(default, skip_serializing_if = "is_first")]
    pub era: u64,
}

// serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_first(era: &u64) -> bool {
    *era == 0
}

impl Snapshot {
    /// Digest of the text.
    pub fn digest(&self) -> Digest {
        Digest::of(self.text.as_bytes())
    }

    /// The checked declaration; `None` if it is not valid in this release.
    pub fn declaration(&self) -> Option<Declaration> {
        Declaration::parse("configuration", &self.text).ok()
    }
}
