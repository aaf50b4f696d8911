use derive_more::{Display, Error, From};
use wire::WireError;

/// Why a call to the platform did not succeed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform refused the call; it had no effect.
    #[from(ignore)]
    #[display("platform: {call} was refused with status {status}; try again later")]
    Refused {
        /// The call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The answer does not decode.
    #[from(ignore)]
    #[display("platform: answer to {call} does not decode: {reason}; check the platform's release")]
    InvalidResponse {
        /// The call.
        call: &'static str,
        /// What the decoder said.
        reason: String,
    },
    /// No answer; the call may have had an effect.
    #[display("{_0}")]
    Wire(WireError),
}

impl PlatformError {
    /// True when the call certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        match self {
            PlatformError::Refused { .. } => true,
            PlatformError::InvalidResponse { .. } => false,
            PlatformError::Wire(e) => e.is_unsent(),
        }
    }
}
