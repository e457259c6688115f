//! Composition: one routing machine from its settings.

use std::net::SocketAddr;

use thiserror::Error;

use crate::settings::Settings;

/// Why a router stopped with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on ({cause}); free the port or change the address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        cause: std::io::Error,
    },
}

/// Runs one routing machine until its planned stop has ended.
///
/// # Errors
///
/// It cannot start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    drop(settings);
    Ok(())
}
