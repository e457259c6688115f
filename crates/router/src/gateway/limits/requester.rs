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
            let quota_needed = shared.quota_needed.next();
            let (request, wake) = self
                .limits
                .with(|state, now| (state.rate_limiter.poll(now), state.rate_limiter.next_wake()));
            if let Some(request) = request {
                self.send(request).await;
                continue;
            }
            match wake {
                Some(wake) => {
                    let deadline = shared.clock.instant(wake);
                    // The loop polls again whether it was notified or timed
                    // out.
                    let _ = timer::timeout_at(deadline, quota_needed).await;
                }
                None => quota_needed.await,
            }
        }
    }

    async fn send(&self, request: QuotaRequest) {
        let number = request.number;
        let response = self.request_quota(request).await;
        let (in_fallback, check_lease) = self.limits.with(|state, now| {
            match response {
                Some(response) => state.rate_limiter.on_response(now, number, response),
                None => state.rate_limiter.on_timeout(now, number),
            }
            state.drop_superseded_ledger();
            let check_lease = state.should_check_lease(now, Duration::ZERO);
            (state.rate_limiter.in_fallback(now), check_lease)
        });
        let shared = &self.limits.shared;
        shared.log.log_fallback(in_fallback);
        shared.log.expire_refusals(shared.clock.now());
        shared.request_ended.notify();
        if check_lease {
            shared.changed.notify();
        }
    }

    async fn request_quota(&self, request: QuotaRequest) -> Option<QuotaResponse> {
        let (kept_here, holder) = self
            .limits
            .with(|state, _now| (state.ledger.is_some(), state.holder));
        if kept_here {
            return Some(self.limits.handle_request(&request));
        }
        let (_, address) = holder?;
        let sent = self.client.request_quota(address?, &request);
        timer::timeout(QUOTA_REQUEST_TIMEOUT, sent)
            .await
            .ok()
            .flatten()
    }
}
