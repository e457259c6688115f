//! Back ends that report a rate limit: the requests per second that they accept
//! from all routers together.
//!
//! A back end that owns keys gets one request for each token that the
//! coordinator of its service granted. Other back ends get one request in each
//! turn of this router. A limit belongs to one incarnation of a back end and
//! outlasts its registration: a list that lacks the back end for a moment does
//! not lift the limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use threadledge_coordination::tokens::{MIN_RATE, TOKEN_LIFETIME, TokenGrant, TokenRequest};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use crate::back_end_events::BackEndEvent;
use crate::outcome::ReportedLimit;
use crate::pacing::{Pacer, Pacing};

/// Reported limits from this rate on, in requests per second, count as no
/// limit.
const UNLIMITED_RATE: f64 = 10_000.0;
/// How long the limit of an unregistered back end is remembered.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time until tokens are requested again after a coordinator granted
/// none.
const MIN_TOKEN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time until tokens are requested again after a coordinator did not answer.
const NO_ANSWER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Most tokens that are requested or accepted at once.
const MAX_TOKENS: u32 = 16;

/// The rate limit of one back end, and this router's share of it.
#[derive(Debug)]
struct LimitState {
    rate: f64,
    /// When the limit was last reported.
    last_reported: Timestamp,
    /// Expiry times of the available tokens.
    tokens: Vec<Timestamp>,
    /// The coordinator has no tokens before this time.
    no_tokens_until: Timestamp,
    /// Number of tokens to request.
    tokens_needed: u32,
    /// A token request has been sent and not been answered.
    request_in_flight: bool,
    /// Interval of this router's turns, if the number of routers is known.
    pacing: Option<Pacing>,
    pacer: Option<Pacer>,
}

impl LimitState {
    fn new(now: Timestamp, rate: f64) -> Self {
        LimitState {
            rate,
            last_reported: now,
            tokens: Vec::new(),
            no_tokens_until: Timestamp::ZERO,
            tokens_needed: 0,
            request_in_flight: false,
            pacing: None,
            pacer: None,
        }
    }

    fn drop_expired_tokens(&mut self, now: Timestamp) {
        self.tokens.retain(|expiry| now < *expiry);
    }
}

/// All back ends that report a rate limit.
#[derive(Debug, Default)]
pub(crate) struct LimitedBackEnds {
    states: BTreeMap<BackEndName, LimitState>,
    /// Back ends for which an unreadable limit has been reported as an event.
    unreadable: BTreeSet<BackEndName>,
    /// When the number of routers that share the limits expires; `None` means
    /// never.
    router_count_valid_until: Option<Timestamp>,
    events: Vec<BackEndEvent>,
}

impl LimitedBackEnds {
    /// Whether no back end has a rate limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    pub(crate) fn is_limited(&self, name: &BackEndName) -> bool {
        self.states.contains_key(name)
    }

    /// Processes what a response says about the back end's rate limit. The
    /// request was sent at `sent`. Invariant: a limit is only lifted or raised
    /// by the response to a request that was sent after the limit was last
    /// reported, because responses can overtake each other.
    pub(crate) fn on_reported_limit(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        sent: Timestamp,
        reported: ReportedLimit,
    ) {
        let rate = match reported {
            ReportedLimit::Unreadable => {
                if self.unreadable.insert(name.clone()) {
                    let back_end = name.clone();
                    self.events.push(BackEndEvent::LimitUnreadable { back_end });
                }
                return;
            }
            ReportedLimit::Rate(rate) if rate < UNLIMITED_RATE => rate.max(MIN_RATE),
            ReportedLimit::Rate(_) | ReportedLimit::None => return self.lift_limit(name, sent),
        };
        let Some(state) = self.states.get_mut(name) else {
            self.states.insert(name.clone(), LimitState::new(now, rate));
            self.push_limited_event(name, rate, None);
            return;
        };
        if rate > state.rate && sent < state.last_reported {
            return;
        }
        state.last_reported = now;
        let before = std::mem::replace(&mut state.rate, rate);
        if before != rate {
            self.push_limited_event(name, rate, Some(before));
        }
    }

    fn push_limited_event(&mut self, name: &BackEndName, rate: f64, before: Option<f64>) {
        self.events.push(BackEndEvent::Limited {
            back_end: name.clone(),
            rate,
            before,
        });
    }

    fn lift_limit(&mut self, name: &BackEndName, sent: Timestamp) {
        let may_lift = |state: &LimitState| sent >= state.last_reported;
        if !self.states.get(name).is_some_and(may_lift) {
            return;
        }
        self.states.remove(name);
        let back_end = name.clone();
        self.events.push(BackEndEvent::LimitLifted { back_end });
    }

    /// Removes the limits of back ends that have been unregistered for long.
    pub(crate) fn forget_old(
        &mut self,
        now: Timestamp,
        is_registered: impl Fn(&BackEndName) -> bool,
    ) {
        self.states.retain(|name, state| {
            is_registered(name) || now.since(state.last_reported) < LIMIT_RETENTION
        });
        self.unreadable.retain(|name| is_registered(name));
    }

    pub(crate) fn take_events(&mut self) -> Vec<BackEndEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether a request for a key may be sent to the key's owner now.
    pub(crate) fn has_token(&self, now: Timestamp, name: &BackEndName) -> bool {
        let Some(state) = self.states.get(name) else {
            return true;
        };
        state.tokens.iter().any(|expiry| now < *expiry)
    }

    /// Takes the token that expires last, so that it may still be usable if it
    /// is returned. Returns its expiry, or `None` if there is no token.
    pub(crate) fn take_token(&mut self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let state = self.states.get_mut(name)?;
        state.drop_expired_tokens(now);
        let last = state.tokens.iter().max().copied()?;
        let index = state.tokens.iter().position(|expiry| *expiry == last)?;
        Some(state.tokens.swap_remove(index))
    }

    /// Returns the token of a request that certainly did not reach the back
    /// end.
    pub(crate) fn return_token(&mut self, now: Timestamp, name: &BackEndName, expiry: Timestamp) {
        let state = self.states.get_mut(name);
        if let Some(state) = state.filter(|_| now < expiry) {
            state.tokens.push(expiry);
        }
    }

    /// Records that a request waits for a token of this back end.
    pub(crate) fn need_token(&mut self, name: &BackEndName) {
        if let Some(state) = self.states.get_mut(name) {
            state.tokens_needed = (state.tokens_needed + 1).min(MAX_TOKENS);
        }
    }

    /// Time until which it is certain that no tokens of this back end are
    /// available.
    pub(crate) fn no_tokens_until(&self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let state = self.states.get(name)?;
        (now < state.no_tokens_until).then_some(state.no_tokens_until)
    }

    /// Whether tokens are to be requested from a coordinator.
    pub(crate) fn wants_tokens(&self) -> bool {
        let has_need = |state: &LimitState| state.tokens_needed > 0 && !state.request_in_flight;
        self.states.values().any(has_need)
    }

    /// Builds the token requests for the coordinators, by service.
    pub(crate) fn take_token_requests(
        &mut self,
        service_of: impl Fn(&BackEndName) -> Option<ServiceName>,
    ) -> BTreeMap<ServiceName, Vec<TokenRequest>> {
        let mut requests: BTreeMap<ServiceName, Vec<TokenRequest>> = BTreeMap::new();
        for (name, state) in &mut self.states {
            if state.tokens_needed == 0 || state.request_in_flight {
                continue;
            }
            let needed = std::mem::take(&mut state.tokens_needed);
            let Some(service) = service_of(name) else {
                continue;
            };
            state.request_in_flight = true;
            requests.entry(service).or_default().push(TokenRequest {
                back_end: name.clone(),
                rate: state.rate,
                needed,
            });
        }
        requests
    }

    /// Processes the answer of a coordinator to a token request sent at
    /// `requested_at`.
    pub(crate) fn on_grant(&mut self, now: Timestamp, requested_at: Timestamp, grant: &TokenGrant) {
        let Some(state) = self.states.get_mut(&grant.back_end) else {
            return;
        };
        state.request_in_flight = false;
        state.drop_expired_tokens(now);
        let expiry = requested_at + TOKEN_LIFETIME;
        if now < expiry {
            // Bounds the memory used, whatever number the answer contains.
            let count = grant.tokens.min(MAX_TOKENS) as usize;
            state.tokens.extend(std::iter::repeat_n(expiry, count));
        }
        if grant.wait_ms > 0 {
            let wait = Duration::from_millis(grant.wait_ms.into());
            state.no_tokens_until = now + wait.max(MIN_TOKEN_RETRY_DELAY);
        }
    }

    /// Processes that no coordinator answered a token request.
    pub(crate) fn on_request_failed(&mut self, now: Timestamp, name: &BackEndName) {
        if let Some(state) = self.states.get_mut(name) {
            state.request_in_flight = false;
            state.no_tokens_until = now + NO_ANSWER_RETRY_DELAY;
        }
    }

    /// Sets when the number of routers that share the limits expires.
    pub(crate) fn set_router_count_expiry(&mut self, until: Option<Timestamp>) {
        self.router_count_valid_until = until;
    }

    /// This router's turns at a back end, if the number of routers that share
    /// its limit is known and has not expired.
    fn pacing_of(&self, now: Timestamp, state: &LimitState) -> Option<(Pacer, Pacing)> {
        if self
            .router_count_valid_until
            .is_some_and(|until| now >= until)
        {
            return None;
        }
        Some((state.pacer?, state.pacing?))
    }

    /// Divides the limits among this number of routers. The next turn keeps its
    /// time: an immediate new turn would add to the one just used.
    pub(crate) fn set_router_count(
        &mut self,
        now: Timestamp,
        routers: Option<u32>,
        random: &mut ChaCha8Rng,
    ) {
        for state in self.states.values_mut() {
            state.pacing = routers.map(|routers| Pacing::of(state.rate, routers));
            if let Some(pacing) = state.pacing {
                state
                    .pacer
                    .get_or_insert_with(|| Pacer::new(now, pacing, random));
            }
        }
    }

    /// Whether a request without a key may be sent to a back end now.
    pub(crate) fn has_turn(&self, now: Timestamp, name: &BackEndName) -> bool {
        let Some(state) = self.states.get(name) else {
            return true;
        };
        let active = self.pacing_of(now, state);
        active.is_some_and(|(pacer, pacing)| pacer.open_until(now, pacing).is_some())
    }

    /// Uses the current turn. Returns when it ends, or `None` if there is no
    /// current turn.
    pub(crate) fn take_turn(&mut self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let (mut pacer, pacing) = self.pacing_of(now, self.states.get(name)?)?;
        let turn_end = pacer.open_until(now, pacing)?;
        pacer.use_turn(now, pacing);
        self.states.get_mut(name)?.pacer = Some(pacer);
        Some(turn_end)
    }

    /// When the next turn at a back end with a rate limit starts, if known.
    pub(crate) fn next_turn_at(&self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let (pacer, pacing) = self.pacing_of(now, self.states.get(name)?)?;
        Some(pacer.next_turn_at(now, pacing))
    }
}
