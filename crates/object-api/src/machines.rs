//! The platform's list of live and leaving machines.

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
    /// A client of the machine list at `address`.
    pub fn new(address: SocketAddr, settings: TransportSettings) -> Self {
        MachineListClient {
            transport: Transport::new(address, settings),
        }
    }

    /// Reads the list. It lags: a machine on it may be gone, and one that is
    /// missing may live. Nobody is declared dead on its word alone.
    ///
    /// # Errors
    ///
    /// The list could not be read; the one read before stays of use.
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
