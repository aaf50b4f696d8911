use derive_more::{Display, Error, From};
use wire::WireError;

/// Why a call to the platform failed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform refused the call; it had no effect.
    #[from(ignore)]
    #[display("platform: {call} was refused with status {status}; try again later")]
    Refused {
        /// Name of the call.
        call: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The response does not decode; the call may have had an effect.
    #[from(ignore)]
    #[display(
        "platform: response to {call} does not decode: {reason}; check the platform's release"
    )]
    InvalidResponse {
        /// Name of the call.
        call: &'static str,
        /// Error of the decoder.
        reason: String,
    },
    /// A response of a later era of the log arrived meanwhile; what the call did may be
    /// lost.
    #[from(ignore)]
    #[display("platform: the log was restored from an older copy during the {call}; repeat it")]
    Outdated {
        /// Name of the call.
        call: &'static str,
    },
    /// No response. The call may have had an effect, unless nothing was sent.
    #[display("{_0}")]
    Wire(WireError),
}

impl PlatformError {
    /// Whether the call had no effect for certain.
    pub fn is_without_effect(&self) -> bool {
        match self {
            PlatformError::Refused { .. } => true,
            PlatformError::InvalidResponse { .. } | PlatformError::Outdated { .. } => false,
            PlatformError::Wire(e) => e.is_unsent(),
        }
    }
}
