//! Client that sends lease requests to back ends.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use threadledge_control::Input;
use threadledge_net::{HttpClient, PoolSettings};
use threadledge_types::session::{LEASE_PATH, LeaseRequest, LeaseResponse};

use super::shared::ControlShell;

/// Maximum number of connections to a back end's control address: one request
/// is sent at a time, and a few more may hang.
const MAX_CONNECTIONS: usize = 4;

/// Client of the back ends' control addresses.
pub struct LeaseClient {
    client: HttpClient,
    timeout: Duration,
}

impl LeaseClient {
    /// Creates a client whose requests time out after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let settings = PoolSettings {
            connections_per_address: MAX_CONNECTIONS,
            connect_timeout: timeout,
            ..Default::default()
        };
        LeaseClient {
            client: HttpClient::new(settings),
            timeout,
        }
    }

    /// Sends a request in the background and reports the result to the core.
    pub fn send(&self, shell: &ControlShell, to: SocketAddr, request: LeaseRequest) {
        let shell = shell.clone();
        let client = self.client.clone();
        let timeout = self.timeout;
        task::spawn(async move {
            let result = client
                .post_json::<_, LeaseResponse>(to, LEASE_PATH, &request, timeout)
                .await;
            shell.input(match result {
                Ok(response) => Input::LeaseAnswered {
                    back_end: request.back_end,
                    response: Box::new(response),
                },
                Err(_) => Input::LeaseFailed {
                    back_end: request.back_end,
                    order: request.order,
                },
            });
        });
    }
}
