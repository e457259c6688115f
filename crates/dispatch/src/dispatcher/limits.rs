//! Back ends that name a limit: what is heard of them, and what may be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::{KeyOwner, TokenGrant, TokenRequest};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::outcome::{RefusalReason, ReportedLimit};
use crate::request::{ExchangeId, Step};

/// Longest time that callers are told to wait for a back end that names a
/// limit: another router, or another owner, may have room before.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// An answer to a request that was chosen at `chosen` came from a back end.
    pub(super) fn hear_limit(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        chosen: Timestamp,
        told: ReportedLimit,
    ) {
        if told == ReportedLimit::None && self.limited.is_empty() {
            return;
        }
        let was_limited = self.limited.is_limited(back_end);
        self.limited.hear(now, back_end, chosen, told);
        let news = self.limited.take_news();
        if !news.is_empty() {
            self.news.extend(news);
            self.share_limits(now);
        }
        let lifted = was_limited && !self.limited.is_limited(back_end);
        let service = self.service_of_back_end(back_end);
        if let Some(service) = service.filter(|_| lifted) {
            self.serve_waiting(now, &service);
        }
    }

    /// Whether a coordinator is to be asked for tokens.
    pub fn wants_tokens(&self) -> bool {
        self.limited.wants_tokens()
    }

    /// What to ask the coordinator of each service for. Each ask must be
    /// followed by [`Dispatcher::on_token_grants`] or [`Dispatcher::on_token_request_failed`].
    pub fn take_token_requests(&mut self) -> BTreeMap<ServiceName, Vec<TokenRequest>> {
        let back_ends = &self.back_ends;
        self.limited.take_asks(|name| {
            let known = back_ends.get(name)?;
            Some(known.back_end.service.clone())
        })
    }

    /// The coordinator of a service answered what was asked of it at `asked`.
    pub fn on_token_grants(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        asked: Timestamp,
        grants: &[TokenGrant],
    ) {
        for grant in grants {
            self.limited.on_grant(now, asked, grant);
        }
        self.wake_for_tokens(service);
    }

    /// Nobody answered what was asked of the coordinator of a service.
    pub fn on_token_request_failed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        asks: &[TokenRequest],
    ) {
        for ask in asks {
            self.limited.on_silence(now, &ask.back_end);
        }
        self.wake_for_tokens(service);
    }

    /// Wakes the requests whose owner names a limit: there is a token for them,
    /// or they are refused at once.
    fn wake_for_tokens(&mut self, service: &ServiceName) {
        let (Some(waiting), Some(view)) = (self.waiting.get(service), self.ownership.get(service))
        else {
            return;
        };
        for (_, id) in waiting {
            let key = self.exchanges.get(id).and_then(|exchange| exchange.key);
            let owner = key.map(|key| view.owner(key).0);
            if let Some(KeyOwner::Owned(owner)) = owner
                && self.limited.is_limited(owner)
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
        let patience_until = exchange.patience_until;
        let reason = RefusalReason::BackEndLimited;
        let none_until = self.limited.none_until(now, owner);
        let again = none_until.unwrap_or(patience_until);
        if now >= patience_until || none_until.is_some_and(|until| until >= patience_until) {
            let wait = again.since(now);
            let wait = wait.clamp(super::DEFAULT_RETRY_AFTER, LONGEST_RETRY_AFTER);
            return self.finish(now, id, reason, Some(wait));
        }
        if none_until.is_none() {
            self.limited.need(owner);
        }
        self.wait(id);
        Step::Wait(again)
    }

    /// Takes what an attempt at a back end needs that names a limit; until when
    /// it may be sent.
    pub(super) fn take_token_or_turn(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        keyed: bool,
    ) -> Option<Timestamp> {
        if self.limited.is_empty() {
            return None;
        }
        match keyed {
            true => self.limited.take_token(now, back_end),
            false => self.limited.take_turn(now, back_end),
        }
    }

    /// Whether an attempt may be sent whose token or turn ends at `send_by`. Its
    /// back end may have named its limit after it was chosen.
    pub(super) fn may_send_limited(
        &mut self,
        now: Timestamp,
        back_end: &BackEndName,
        keyed: bool,
        send_by: Option<Timestamp>,
    ) -> bool {
        if !self.limited.is_limited(back_end) || send_by.is_some_and(|end| now < end) {
            return true;
        }
        self.take_token_or_turn(now, back_end, keyed).is_some()
    }

    pub(super) fn forget_old_limits(&mut self, now: Timestamp) {
        if self.limited.is_empty() {
            return;
        }
        let back_ends = &self.back_ends;
        self.limited
            .forget_old(now, |name| back_ends.get(name).is_some());
    }

    /// Shares the turns of back ends that name a limit anew.
    pub(super) fn share_limits(&mut self, now: Timestamp) {
        self.limited.set_routers(now, self.fleet, &mut self.starts);
    }
}
