//! The dispatcher behind a lock, and the tasks that wait for its decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures::task::AtomicWaker;
use parking_lot::Mutex;
use threadledge_routing::dispatcher::Dispatcher;
use threadledge_routing::{
    AttemptEvent, AttemptNumber, ExchangeId, Matched, Refused, SendDecision, Step,
};
use threadledge_types::Timestamp;

use super::clock::Clock;
use super::inbound::Inbound;

/// Wakes the task of one exchange.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    given: AtomicBool,
    waker: AtomicWaker,
}

impl Signal {
    pub(crate) fn notify(&self) {
        self.given.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Resolves when something may have changed since the last time.
    pub(crate) fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.given.swap(false, Ordering::AcqRel) {
            return Poll::Ready(());
        }
        self.waker.register(context.waker());
        if self.given.swap(false, Ordering::AcqRel) {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

/// An exchange that has begun.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) id: ExchangeId,
    pub(super) matched: Matched,
    pub(super) signal: Arc<Signal>,
    pub(super) steps: Vec<Step>,
}

/// Whether a request was taken.
#[derive(Debug)]
pub(super) enum Admission {
    Admitted(Admitted),
    Refused(Refused),
}

/// The dispatcher with its clock. The clock is read under the lock, so that
/// the dispatcher sees time that never goes back.
#[derive(Debug)]
pub(super) struct Dispatch {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    signals: HashMap<ExchangeId, Arc<Signal>>,
}

impl Dispatch {
    pub(super) fn new(dispatcher: Dispatcher, clock: Clock) -> Self {
        let signals = HashMap::new();
        Dispatch {
            clock,
            state: Mutex::new(State {
                dispatcher,
                signals,
            }),
        }
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Does something with the dispatcher and wakes whom it concerns.
    pub(super) fn with<R>(&self, act: impl FnOnce(&mut Dispatcher, Timestamp) -> R) -> R {
        self.locked(None, |state, now| act(&mut state.dispatcher, now))
    }

    /// Admits a request and takes its first steps.
    pub(super) fn begin(&self, inbound: &Inbound) -> Admission {
        let signal = Arc::new(Signal::default());
        inbound.with_head(|head| {
            self.locked(None, |state, now| {
                let (id, matched) = match state.dispatcher.begin_matched(now, head) {
                    Ok(begun) => begun,
                    Err(refused) => return Admission::Refused(refused),
                };
                state.signals.insert(id, signal.clone());
                Admission::Admitted(Admitted {
                    id,
                    matched,
                    signal,
                    steps: state.steps(now, id),
                })
            })
        })
    }

    /// What to do for an exchange, in order. The last one says how long to
    /// wait, or that the exchange is over.
    pub(super) fn steps(&self, id: ExchangeId) -> Vec<Step> {
        self.locked(Some(id), |state, now| state.steps(now, id))
    }

    /// Reports what happened to an attempt; returns what to do next.
    pub(super) fn report(
        &self,
        id: ExchangeId,
        attempt: AttemptNumber,
        event: AttemptEvent,
    ) -> Vec<Step> {
        self.locked(Some(id), |state, now| {
            state.dispatcher.on_event(now, id, attempt, event);
            state.steps(now, id)
        })
    }

    pub(super) fn start_sending(&self, id: ExchangeId, attempt: AttemptNumber) -> SendDecision {
        self.locked(Some(id), |state, now| {
            state.dispatcher.start_sending(now, id, attempt)
        })
    }

    /// The caller hung up.
    pub(super) fn caller_gone(&self, id: ExchangeId) {
        self.locked(Some(id), |state, now| {
            state.dispatcher.caller_gone(now, id);
            state.signals.remove(&id);
        });
    }

    /// `own` is the exchange whose task is running this: it looks at its
    /// steps anyway and need not be woken.
    fn locked<R>(
        &self,
        own: Option<ExchangeId>,
        act: impl FnOnce(&mut State, Timestamp) -> R,
    ) -> R {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let result = act(&mut state, now);
        let woken = state.take_woken(own);
        drop(state);
        for signal in woken {
            signal.notify();
        }
        result
    }
}

impl State {
    fn steps(&mut self, now: Timestamp, id: ExchangeId) -> Vec<Step> {
        let mut steps = Vec::new();
        loop {
            let step = self.dispatcher.next(now, id);
            let last = match &step {
                Step::Send(_) | Step::Cancel(_) | Step::Deliver(_) => false,
                Step::Wait { .. } => true,
                Step::Finish(_) | Step::Gone => {
                    self.signals.remove(&id);
                    true
                }
            };
            steps.push(step);
            if last {
                return steps;
            }
        }
    }

    fn take_woken(&mut self, own: Option<ExchangeId>) -> Vec<Arc<Signal>> {
        let woken = self.dispatcher.take_wakeups();
        woken
            .into_iter()
            .filter(|id| Some(*id) != own)
            .filter_map(|id| self.signals.get(&id).cloned())
            .collect()
    }
}
