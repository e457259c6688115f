//! Asks the coordinators of services for tokens of back ends that name a
//! limit, when requests wait for them.

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

/// Longest wait for a coordinator. Tokens are good for twice that.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);

/// An ask for tokens with the service that it is about.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ServiceTokenAsk {
    pub(super) service: ServiceName,
    pub(super) asks: Vec<TokenRequest>,
}

/// The answer of one gateway to such an ask.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(super) enum TokenReply {
    /// It coordinates the service.
    Granted {
        /// What it gave.
        grants: Vec<TokenGrant>,
    },
    /// It does not surely do so; who does, as far as it knows.
    Elsewhere {
        /// Where that one takes messages of other gateways.
        coordinator: Option<SocketAddr>,
    },
}

/// Asks for tokens. Clones share everything.
#[derive(Clone)]
pub(super) struct TokenAsker {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) peers: PeerClient,
    /// To the coordinators of this gateway.
    pub(super) events: async_channel::Sender<Event>,
}

impl TokenAsker {
    /// Runs for ever.
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
            for (service, asks) in asks {
                task::spawn(self.clone().ask(service, asks));
            }
        }
    }

    async fn ask(self, service: ServiceName, asks: Vec<TokenRequest>) {
        let asked = self.dispatch.clock().now();
        let ask = ServiceTokenAsk { service, asks };
        let granted = timer::timeout(TOKEN_TIMEOUT, self.granted(&ask)).await;
        self.dispatch
            .with(|dispatcher, now| match granted.ok().flatten() {
                Some(grants) => dispatcher.on_token_grants(now, &ask.service, asked, &grants),
                None => dispatcher.on_token_request_failed(now, &ask.service, &ask.asks),
            });
    }

    async fn granted(&self, ask: &ServiceTokenAsk) -> Option<Vec<TokenGrant>> {
        match ask_here(&self.events, ask).await? {
            TokenReply::Granted { grants } => Some(grants),
            TokenReply::Elsewhere { coordinator } => {
                match self.peers.request_tokens(coordinator?, ask).await? {
                    TokenReply::Granted { grants } => Some(grants),
                    TokenReply::Elsewhere { .. } => None,
                }
            }
        }
    }
}

/// Asks the coordinators of this gateway. `None`: they have ended.
pub(super) async fn ask_here(
    events: &async_channel::Sender<Event>,
    ask: &ServiceTokenAsk,
) -> Option<TokenReply> {
    let (reply, replied) = async_channel::bounded(1);
    let event = Event::TokenRequest(ask.service.clone(), ask.asks.clone(), reply);
    events.try_send(event).ok()?;
    replied.recv().await.ok()
}
