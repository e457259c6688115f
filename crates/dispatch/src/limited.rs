//! Back ends that name a limit: the requests a second that they take from all
//! routers together.
//!
//! One that owns keys gets a request for each token that the coordinator of
//! its service handed out; others get one in each turn of this router. What is
//! known of a limit belongs to one life of a back end and outlasts its
//! registration: a list that lacks it for a moment lifts nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use threadledge_coordination::tokens::{MIN_RATE, TOKEN_LIFETIME, TokenGrant, TokenRequest};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use crate::back_end_events::BackEndEvent;
use crate::outcome::ReportedLimit;
use crate::pace::{Pace, Turns};

/// Limits from this on are none, in requests a second.
const UNBOUNDED_RATE: f64 = 10_000.0;
/// How long a limit is remembered of one that is not registered.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Shortest time until a coordinator that gave nothing is asked again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// Time until a coordinator is asked again that did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(200);
/// Most tokens that are asked for at once.
const MOST_NEEDED: u32 = 16;

/// A limit in force, and this router's part of it.
#[derive(Debug)]
struct Limited {
    rate: f64,
    /// When it was last named.
    heard: Timestamp,
    /// Tokens at hand, by their ends.
    tokens: Vec<Timestamp>,
    /// The coordinator has none until then.
    none_until: Timestamp,
    /// Tokens to ask for.
    needed: u32,
    /// The coordinator is being asked.
    asking: bool,
    /// How this router takes turns, while the number of routers is known.
    pace: Option<Pace>,
    turns: Option<Turns>,
}

impl Limited {
    fn new(now: Timestamp, rate: f64) -> Self {
        Limited {
            rate,
            heard: now,
            tokens: Vec::new(),
            none_until: Timestamp::ZERO,
            needed: 0,
            asking: false,
            pace: None,
            turns: None,
        }
    }

    fn drop_ended(&mut self, now: Timestamp) {
        self.tokens.retain(|ends| now < *ends);
    }
}

/// Every back end that names a limit.
#[derive(Debug, Default)]
pub(crate) struct LimitedBackEnds {
    limited: BTreeMap<BackEndName, Limited>,
    /// Back ends of which it was told that they name no proper limit.
    unreadable: BTreeSet<BackEndName>,
    /// Until when turns are shared by the number of routers; `None`: for good.
    shared_until: Option<Timestamp>,
    news: Vec<BackEndEvent>,
}

impl LimitedBackEnds {
    /// Whether no back end names a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.limited.is_empty()
    }

    pub(crate) fn is_limited(&self, name: &BackEndName) -> bool {
        self.limited.contains_key(name)
    }

    /// An answer to a request that was sent at `sent` came from a back end.
    /// Invariant: only one that was asked for after a limit was heard lifts or
    /// raises it; answers overtake each other.
    pub(crate) fn hear(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        sent: Timestamp,
        told: ReportedLimit,
    ) {
        let rate = match told {
            ReportedLimit::Unreadable => {
                if self.unreadable.insert(name.clone()) {
                    let back_end = name.clone();
                    self.news.push(BackEndEvent::LimitUnreadable { back_end });
                }
                return;
            }
            ReportedLimit::Rate(rate) if rate < UNBOUNDED_RATE => rate.max(MIN_RATE),
            ReportedLimit::Rate(_) | ReportedLimit::None => return self.lift(name, sent),
        };
        let Some(limited) = self.limited.get_mut(name) else {
            self.limited.insert(name.clone(), Limited::new(now, rate));
            self.tell_named(name, rate, None);
            return;
        };
        if rate > limited.rate && sent < limited.heard {
            return;
        }
        limited.heard = now;
        let before = std::mem::replace(&mut limited.rate, rate);
        if before != rate {
            self.tell_named(name, rate, Some(before));
        }
    }

    fn tell_named(&mut self, name: &BackEndName, rate: f64, before: Option<f64>) {
        self.news.push(BackEndEvent::Limited {
            back_end: name.clone(),
            rate,
            before,
        });
    }

    fn lift(&mut self, name: &BackEndName, sent: Timestamp) {
        let lifted = |limited: &Limited| sent >= limited.heard;
        if !self.limited.get(name).is_some_and(lifted) {
            return;
        }
        self.limited.remove(name);
        let back_end = name.clone();
        self.news.push(BackEndEvent::LimitLifted { back_end });
    }

    /// Forgets what is long gone.
    pub(crate) fn forget_old(
        &mut self,
        now: Timestamp,
        is_registered: impl Fn(&BackEndName) -> bool,
    ) {
        self.limited
            .retain(|name, limited| is_registered(name) || now.since(limited.heard) < REMEMBERED);
        self.unreadable.retain(|name| is_registered(name));
    }

    pub(crate) fn take_news(&mut self) -> Vec<BackEndEvent> {
        std::mem::take(&mut self.news)
    }

    /// Whether a request for a key may be sent to its owner now.
    pub(crate) fn has_token(&self, now: Timestamp, name: &BackEndName) -> bool {
        let Some(limited) = self.limited.get(name) else {
            return true;
        };
        limited.tokens.iter().any(|ends| now < *ends)
    }

    /// Takes the token that ends last; one that is put back may then still be
    /// of use. `None`: there is none.
    pub(crate) fn take_token(&mut self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let limited = self.limited.get_mut(name)?;
        limited.drop_ended(now);
        let last = limited.tokens.iter().max().copied()?;
        let place = limited.tokens.iter().position(|ends| *ends == last)?;
        Some(limited.tokens.swap_remove(place))
    }

    /// A request on which a token was taken surely did not arrive.
    pub(crate) fn put_back(&mut self, now: Timestamp, name: &BackEndName, ends: Timestamp) {
        let limited = self.limited.get_mut(name);
        if let Some(limited) = limited.filter(|_| now < ends) {
            limited.tokens.push(ends);
        }
    }

    /// A request waits for a token of this back end.
    pub(crate) fn need(&mut self, name: &BackEndName) {
        if let Some(limited) = self.limited.get_mut(name) {
            limited.needed = (limited.needed + 1).min(MOST_NEEDED);
        }
    }

    /// Until when there surely is no token of this back end.
    pub(crate) fn none_until(&self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let limited = self.limited.get(name)?;
        (now < limited.none_until).then_some(limited.none_until)
    }

    /// Whether a coordinator is to be asked.
    pub(crate) fn wants_tokens(&self) -> bool {
        let due = |limited: &Limited| limited.needed > 0 && !limited.asking;
        self.limited.values().any(due)
    }

    /// What to ask the coordinators for, by service.
    pub(crate) fn take_asks(
        &mut self,
        service_of: impl Fn(&BackEndName) -> Option<ServiceName>,
    ) -> BTreeMap<ServiceName, Vec<TokenRequest>> {
        let mut asks: BTreeMap<ServiceName, Vec<TokenRequest>> = BTreeMap::new();
        for (name, limited) in &mut self.limited {
            if limited.needed == 0 || limited.asking {
                continue;
            }
            let needed = std::mem::take(&mut limited.needed);
            let Some(service) = service_of(name) else {
                continue;
            };
            limited.asking = true;
            asks.entry(service).or_default().push(TokenRequest {
                back_end: name.clone(),
                rate: limited.rate,
                needed,
            });
        }
        asks
    }

    /// The coordinator answered an ask that was sent at `asked`.
    pub(crate) fn on_grant(&mut self, now: Timestamp, asked: Timestamp, grant: &TokenGrant) {
        let Some(limited) = self.limited.get_mut(&grant.back_end) else {
            return;
        };
        limited.asking = false;
        limited.drop_ended(now);
        let ends = asked + TOKEN_LIFETIME;
        if now < ends {
            // No answer fills the memory, whatever it says.
            let count = grant.tokens.min(MOST_NEEDED) as usize;
            limited.tokens.extend(std::iter::repeat_n(ends, count));
        }
        if grant.wait_ms > 0 {
            let wait = Duration::from_millis(grant.wait_ms.into());
            limited.none_until = now + wait.max(SHORTEST_PAUSE);
        }
    }

    /// No coordinator answered an ask.
    pub(crate) fn on_silence(&mut self, now: Timestamp, name: &BackEndName) {
        if let Some(limited) = self.limited.get_mut(name) {
            limited.asking = false;
            limited.none_until = now + SILENT_PAUSE;
        }
    }

    /// Until when turns are shared by the number of routers that was told.
    pub(crate) fn set_shared_until(&mut self, until: Option<Timestamp>) {
        self.shared_until = until;
    }

    /// The turns of this router at a back end, while the number of those that
    /// share its limit is known.
    fn paced(&self, now: Timestamp, limited: &Limited) -> Option<(Turns, Pace)> {
        if self.shared_until.is_some_and(|until| now >= until) {
            return None;
        }
        Some((limited.turns?, limited.pace?))
    }

    /// Shares the limits between so many routers. The turn that comes next stays
    /// where it was: another one at once would come on top of the last.
    pub(crate) fn set_routers(
        &mut self,
        now: Timestamp,
        routers: Option<u32>,
        random: &mut ChaCha8Rng,
    ) {
        for limited in self.limited.values_mut() {
            limited.pace = routers.map(|routers| Pace::of(limited.rate, routers));
            if let Some(pace) = limited.pace {
                limited
                    .turns
                    .get_or_insert_with(|| Turns::new(now, pace, random));
            }
        }
    }

    /// Whether a request without a key may be sent to a back end now.
    pub(crate) fn has_turn(&self, now: Timestamp, name: &BackEndName) -> bool {
        let Some(limited) = self.limited.get(name) else {
            return true;
        };
        let paced = self.paced(now, limited);
        paced.is_some_and(|(turns, pace)| turns.open(now, pace).is_some())
    }

    /// Takes the turn that is open; when it ends. `None`: none is open.
    pub(crate) fn take_turn(&mut self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let (mut turns, pace) = self.paced(now, self.limited.get(name)?)?;
        let ends = turns.open(now, pace)?;
        turns.take(now, pace);
        self.limited.get_mut(name)?.turns = Some(turns);
        Some(ends)
    }

    /// When the next turn opens at a back end that names a limit, if that is
    /// known.
    pub(crate) fn next_turn(&self, now: Timestamp, name: &BackEndName) -> Option<Timestamp> {
        let (turns, pace) = self.paced(now, self.limited.get(name)?)?;
        Some(turns.next_open(now, pace))
    }
}
