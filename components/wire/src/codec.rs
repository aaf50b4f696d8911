use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::WireError;

/// Encodes a message between two processes as MessagePack.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    rmp_serde::to_vec(message).map_err(|e| WireError::Decode {
        reason: e.to_string(),
    })
}

/// Decodes a message between two processes from MessagePack.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    rmp_serde::from_slice(bytes).map_err(|e| WireError::Decode {
        reason: e.to_string(),
    })
}
