//! Requests tokens for rate-limited back ends from the coordinators of their
//! services, when requests wait for tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use serde::{Deserialize, Serialize};
use threadledge_coordination::{TokenGrant, TokenRequest};
use threadledge_net::timer;
use threadledge_types::deployment::ServiceName;

use super::coordination::Event;
use super::dispatch::Dispatch;
use super::peers::PeerClient;

/// Timeout for a coordinator's reply. Tokens are valid for twice that.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);

/// A request for tokens of the back ends of one service.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ServiceTokenRequest {
    pub(super) service: ServiceName,
    #[serde(rename = "asks")]
    pub(super) requests: Vec<TokenRequest>,
}

/// Reply of one gateway to a token request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(super) enum TokenReply {
    /// The gateway coordinates the service.
    Granted {
        /// The granted tokens.
        grants: Vec<TokenGrant>,
    },
    /// The gateway is not certain to coordinate the service.
    #[serde(rename = "elsewhere")]
    NotCoordinator {
        /// Peer address of the gateway that coordinates the service, as far as
        /// this one knows.
        coordinator: Option<SocketAddr>,
    },
}

/// Task that requests tokens. Clones share everything.
#[derive(Clone)]
pub(super) struct TokenRequester {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) peers: PeerClient,
    /// Events to the coordinators of this gateway.
    pub(super) events: async_channel::Sender<Event>,
}

impl TokenRequester {
    /// Requests tokens whenever they are needed; never returns.
    pub(super) async fn run(self) {
        loop {
            let needed = self.dispatch.tokens_needed().next();
            let requests = self
                .dispatch
                .with(|dispatcher, _now| dispatcher.take_token_requests());
            if requests.is_empty() {
                needed.await;
                continue;
            }
            for (service, requests) in requests {
                task::spawn(self.clone().request_tokens(service, requests));
            }
        }
    }

    async fn request_tokens(self, service: ServiceName, requests: Vec<TokenRequest>) {
        let sent_at = self.dispatch.clock().now();
        let request = ServiceTokenRequest { service, requests };
        let granted = timer::timeout(TOKEN_TIMEOUT, self.fetch_grants(&request)).await;
        self.dispatch
            .with(|dispatcher, now| match granted.ok().flatten() {
                Some(grants) => dispatcher.on_token_grants(now, &request.service, sent_at, &grants),
                None => {
                    dispatcher.on_token_request_failed(now, &request.service, &request.requests)
                }
            });
    }

    async fn fetch_grants(&self, request: &ServiceTokenRequest) -> Option<Vec<TokenGrant>> {
        match request_local_tokens(&self.events, request).await? {
            TokenReply::Granted { grants } => Some(grants),
            TokenReply::NotCoordinator { coordinator } => {
                match self.peers.request_tokens(coordinator?, request).await? {
                    TokenReply::Granted { grants } => Some(grants),
                    TokenReply::NotCoordinator { .. } => None,
                }
            }
        }
    }
}

/// Requests tokens from the coordinators of this gateway. Returns `None` if
/// they have ended.
pub(super) async fn request_local_tokens(
    events: &async_channel::Sender<Event>,
    request: &ServiceTokenRequest,
) -> Option<TokenReply> {
    let (reply, replied) = async_channel::bounded(1);
    let event = Event::TokenRequest(request.service.clone(), request.requests.clone(), reply);
    events.try_send(event).ok()?;
    replied.recv().await.ok()
}
