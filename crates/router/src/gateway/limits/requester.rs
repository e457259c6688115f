//! Requests quota from the ledger.

use std::time::Duration;

use threadledge_limits::settings::QUOTA_REQUEST_TIMEOUT;
use threadledge_limits::{QuotaRequest, QuotaResponse};
use threadledge_net::timer;

use super::super::peers::PeerClient;
use super::Limits;

/// Task that sends the rate limiter's quota requests, one at a time.
pub(super) struct QuotaRequester {
    pub(super) limits: Limits,
    pub(super) client: PeerClient,
}

impl QuotaRequester {
    /// Sends requests as they become due; never returns.
    pub(super) async fn run(self) {
        let shared = self.limits.shared.clone();
        loop {
            let wanted = shared.wanted.next();
            let (ask, wake) = self
                .limits
                .with(|state, now| (state.spender.poll(now), state.spender.next_wake()));
            if let Some(ask) = ask {
                self.send(ask).await;
                continue;
            }
            match wake {
                Some(wake) => {
                    let deadline = shared.clock.instant(wake);
                    // The loop polls again whether it was notified or timed
                    // out.
                    let _ = timer::timeout_at(deadline, wanted).await;
                }
                None => wanted.await,
            }
        }
    }

    async fn send(&self, ask: QuotaRequest) {
        let number = ask.number;
        let answer = self.answer(ask).await;
        let (used, doubts) = self.limits.with(|state, now| {
            match answer {
                Some(answer) => state.spender.on_response(now, number, answer),
                None => state.spender.on_timeout(now, number),
            }
            state.yield_office();
            let doubts = state.doubts_ledger(now, Duration::ZERO);
            (state.spender.in_fallback(now), doubts)
        });
        let shared = &self.limits.shared;
        shared.log.fallback(used);
        shared.log.settle(shared.clock.now());
        shared.answered.notify();
        if doubts {
            shared.changed.notify();
        }
    }

    async fn answer(&self, ask: QuotaRequest) -> Option<QuotaResponse> {
        let (own, holder) = self
            .limits
            .with(|state, _now| (state.ledger.is_some(), state.holder));
        if own {
            return Some(self.limits.handle_request(&ask));
        }
        let (_, address) = holder?;
        let asked = self.client.request_quota(address?, &ask);
        timer::timeout(QUOTA_REQUEST_TIMEOUT, asked)
            .await
            .ok()
            .flatten()
    }
}
