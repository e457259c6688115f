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
            let wanted = self.dispatch.tokens_wanted().next();
            let asks = self
                .dispatch
                .with(|dispatcher, _now| dispatcher.take_token_requests());
            if asks.is_empty() {
                wanted.await;
                continue;
            }
            for (service, requests) in asks {
                task::spawn(self.clone().ask(service, requests));
            }
        }
    }

    async fn ask(self, service: ServiceName, requests: Vec<TokenRequest>) {
        let asked = self.dispatch.clock().now();
        let ask = ServiceTokenRequest { service, requests };
        let granted = timer::timeout(TOKEN_TIMEOUT, self.granted(&ask)).await;
        self.dispatch
            .with(|dispatcher, now| match granted.ok().flatten() {
                Some(grants) => dispatcher.on_token_grants(now, &ask.service, asked, &grants),
                None => dispatcher.on_token_request_failed(now, &ask.service, &ask.requests),
            });
    }

    async fn granted(&self, ask: &ServiceTokenRequest) -> Option<Vec<TokenGrant>> {
        match request_local_tokens(&self.events, ask).await? {
            TokenReply::Granted { grants } => Some(grants),
            TokenReply::NotCoordinator { coordinator } => {
                match self.peers.request_tokens(coordinator?, ask).await? {
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
    ask: &ServiceTokenRequest,
) -> Option<TokenReply> {
    let (reply, replied) = async_channel::bounded(1);
    let event = Event::TokenRequest(ask.service.clone(), ask.requests.clone(), reply);
    events.try_send(event).ok()?;
    replied.recv().await.ok()
}
