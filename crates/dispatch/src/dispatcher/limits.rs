//! Back ends with a rate limit: processes what they report and decides what may
//! be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::{KeyOwner, TokenGrant, TokenRequest};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::outcome::{RefusalReason, ReportedLimit};
use crate::request::{ExchangeId, Step};

/// Longest retry-after time for a back end with a rate limit: another router,
/// or another owner of the key, may have capacity sooner.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Processes the rate limit in a response. The back end was chosen for the
    /// request at `chosen_at`.
    pub(super) fn on_reported_limit(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        chosen_at: Timestamp,
        reported: ReportedLimit,
    ) {
        if reported == ReportedLimit::None && self.limited_back_ends.is_empty() {
            return;
        }
        let was_limited = self.limited_back_ends.is_limited(back_end);
        self.limited_back_ends
            .on_reported_limit(now, back_end, chosen_at, reported);
        let events = self.limited_back_ends.take_events();
        if !events.is_empty() {
            self.back_end_events.extend(events);
            self.divide_limits(now);
        }
        let is_lifted = was_limited && !self.limited_back_ends.is_limited(back_end);
        let service = self.service_of_back_end(back_end);
        if let Some(service) = service.filter(|_| is_lifted) {
            self.wake_waiting(now, &service);
        }
    }

    /// Whether tokens are to be requested from a coordinator.
    pub fn wants_tokens(&self) -> bool {
        self.limited_back_ends.wants_tokens()
    }

    /// The token requests for the coordinator of each service. Each must be
    /// followed by [`Dispatcher::on_token_grants`] or
    /// [`Dispatcher::on_token_request_failed`].
    pub fn take_token_requests(&mut self) -> BTreeMap<ServiceName, Vec<TokenRequest>> {
        let back_ends = &self.back_ends;
        self.limited_back_ends.take_token_requests(|name| {
            let state = back_ends.get(name)?;
            Some(state.back_end.service.clone())
        })
    }

    /// Processes the answer of a service's coordinator to a token request sent
    /// at `requested_at`.
    pub fn on_token_grants(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        requested_at: Timestamp,
        grants: &[TokenGrant],
    ) {
        for grant in grants {
            self.limited_back_ends.on_grant(now, requested_at, grant);
        }
        self.wake_for_tokens(service);
    }

    /// Processes that no coordinator answered the token requests of a service.
    pub fn on_token_request_failed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        requests: &[TokenRequest],
    ) {
        for request in requests {
            self.limited_back_ends
                .on_request_failed(now, &request.back_end);
        }
        self.wake_for_tokens(service);
    }

    /// Wakes the requests whose owner has a rate limit: either there is a token
    /// for them, or they are refused at once.
    fn wake_for_tokens(&mut self, service: &ServiceName) {
        let (Some(waiting), Some(view)) = (self.waiting.get(service), self.ownership.get(service))
        else {
            return;
        };
        for (_, id) in waiting {
            let key = self.exchanges.get(id).and_then(|exchange| exchange.key);
            let owner = key.map(|key| view.owner(key).0);
            if let Some(KeyOwner::Owned(owner)) = owner
                && self.limited_back_ends.is_limited(owner)
            {
                self.woken.push(*id);
            }
        }
    }

    /// Lets a request wait for a token of its owner, or refuses it.
    pub(super) fn wait_for_token(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        owner: &BackEndName,
    ) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let queue_deadline = exchange.queue_deadline;
        let reason = RefusalReason::BackEndLimited;
        let no_tokens_until = self.limited_back_ends.no_tokens_until(now, owner);
        let retry_at = no_tokens_until.unwrap_or(queue_deadline);
        if now >= queue_deadline || no_tokens_until.is_some_and(|until| until >= queue_deadline) {
            let wait = retry_at.since(now);
            let wait = wait.clamp(super::DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER);
            return self.finish(now, id, reason, Some(wait));
        }
        if no_tokens_until.is_none() {
            self.limited_back_ends.need_token(owner);
        }
        self.enqueue(id);
        Step::Wait(retry_at)
    }

    /// Takes the token or the turn that an attempt at a back end with a rate
    /// limit needs. Returns the time until which the attempt may be sent.
    pub(super) fn take_send_permission(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        keyed: bool,
    ) -> Option<Timestamp> {
        if self.limited_back_ends.is_empty() {
            return None;
        }
        match keyed {
            true => self.limited_back_ends.take_token(now, back_end),
            false => self.limited_back_ends.take_turn(now, back_end),
        }
    }

    /// Whether an attempt whose token or turn ends at `send_by` may be sent.
    /// The back end may have reported its limit after it was chosen; the
    /// attempt then needs a token or a turn now.
    pub(super) fn may_send_limited(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        keyed: bool,
        send_by: Option<Timestamp>,
    ) -> bool {
        if !self.limited_back_ends.is_limited(back_end) || send_by.is_some_and(|end| now < end) {
            return true;
        }
        self.take_send_permission(now, back_end, keyed).is_some()
    }

    /// Removes the limits of back ends that have been unregistered for long.
    pub(super) fn forget_old_limits(&mut self, now: Timestamp) {
        if self.limited_back_ends.is_empty() {
            return;
        }
        let back_ends = &self.back_ends;
        self.limited_back_ends
            .forget_old(now, |name| back_ends.get(name).is_some());
    }

    /// Divides the rate limits of back ends among the current number of
    /// routers.
    pub(super) fn divide_limits(&mut self, now: Timestamp) {
        self.limited_back_ends
            .set_router_count(now, self.router_count, &mut self.offset_random);
    }
}
