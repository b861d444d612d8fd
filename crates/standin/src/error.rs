//! Typed failures of a stand-in.

use thiserror::Error;

/// Why a stand-in cannot run.
#[derive(Debug, Error)]
pub enum StandinError {
    /// Its address cannot be listened on.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: String,
        /// What the system says.
        reason: String,
    },
}
