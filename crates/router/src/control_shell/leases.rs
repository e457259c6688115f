//! Lease requests to back ends.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use threadledge_control::Input;
use threadledge_net::{HttpClient, PoolSettings};
use threadledge_types::session::{LEASE_PATH, LeaseRequest, LeaseResponse};

use super::shared::ControlShell;

/// Connections to one back end's control address: one exchange at a time,
/// and room for a few that hang.
const CONNECTIONS: usize = 4;

/// Client of the back ends' control addresses.
pub struct LeaseClient {
    client: HttpClient,
    timeout: Duration,
}

impl LeaseClient {
    /// A client that gives an exchange up after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let settings = PoolSettings {
            connections_per_address: CONNECTIONS,
            connect_timeout: timeout,
            ..Default::default()
        };
        LeaseClient {
            client: HttpClient::new(settings),
            timeout,
        }
    }

    /// Sends one request in the background and reports what came of it.
    pub fn send(&self, shell: &ControlShell, to: SocketAddr, request: LeaseRequest) {
        let shell = shell.clone();
        let client = self.client.clone();
        let timeout = self.timeout;
        task::spawn(async move {
            let answer = client
                .post_json::<_, LeaseResponse>(to, LEASE_PATH, &request, timeout)
                .await;
            shell.input(match answer {
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
