//! The platform's list of running and leaving machines.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::error::{PlatformError, PlatformErrorKind};
use crate::transport::{Operation, Transport, TransportSettings};

/// Path of the machine list.
pub const MACHINES_PATH: &str = "/machines";

/// Client of the machine list.
#[derive(Clone, Debug)]
pub struct MachineListClient {
    transport: Transport,
}

impl MachineListClient {
    /// Creates a client of the machine list at `address`.
    pub fn new(address: SocketAddr, settings: TransportSettings) -> Self {
        MachineListClient {
            transport: Transport::new(address, settings),
        }
    }

    /// Reads the list. It lags behind: a listed machine may be gone, and a
    /// missing one may be running. The list alone is therefore no proof that a
    /// machine is dead.
    ///
    /// # Errors
    ///
    /// The list could not be read; the one read before remains usable.
    pub async fn machines<M: DeserializeOwned>(&self) -> Result<M, PlatformError> {
        let request = http::Request::get(MACHINES_PATH)
            .body(Vec::new())
            .map_err(|error| {
                let kind = PlatformErrorKind::BadRequest(error.to_string());
                PlatformError::without_effect(MACHINES_PATH, kind)
            })?;
        let operation = Operation::of(&request);
        let body = self.transport.exchange(request).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let kind = PlatformErrorKind::BadAnswer(error.to_string());
            PlatformError::without_effect(&operation.name, kind)
        })
    }
}
