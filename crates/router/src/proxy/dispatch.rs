//! Locked access to the dispatcher, and wakeups of the tasks that wait for its
//! decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures::task::AtomicWaker;
use parking_lot::Mutex;
use threadledge_routing::dispatcher::Dispatcher;
use threadledge_routing::{
    AttemptEvent, AttemptNumber, ExchangeId, MatchedRoute, Refused, SendDecision, Step,
};
use threadledge_types::Timestamp;

use super::clock::Clock;
use super::inbound::Inbound;

/// Wakes the task of an exchange. A notification that arrives while the task
/// does not wait is kept for its next poll.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    notified: AtomicBool,
    waker: AtomicWaker,
}

impl Signal {
    /// Wakes the task.
    pub(crate) fn notify(&self) {
        self.notified.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Resolves when something may have changed, that is, if there was a
    /// notification since the last time that it resolved.
    pub(crate) fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.notified.swap(false, Ordering::AcqRel) {
            return Poll::Ready(());
        }
        self.waker.register(context.waker());
        if self.notified.swap(false, Ordering::AcqRel) {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

/// An admitted exchange.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) id: ExchangeId,
    pub(super) matched: MatchedRoute,
    pub(super) signal: Arc<Signal>,
    pub(super) steps: Vec<Step>,
}

/// Result of the admission of a request.
#[derive(Debug)]
pub(super) enum Admission {
    Admitted(Admitted),
    Refused(Refused),
}

/// The dispatcher with its clock. The clock is read under the lock, so that
/// time never goes backwards for the dispatcher.
#[derive(Debug)]
pub(super) struct Dispatch {
    clock: Clock,
    state: Mutex<State>,
}

/// The locked state. Each open exchange has a signal.
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

    /// Runs `act` with the dispatcher and wakes the exchanges that it affects.
    pub(super) fn with<R>(&self, act: impl FnOnce(&mut Dispatcher, Timestamp) -> R) -> R {
        self.with_lock(None, |state, now| act(&mut state.dispatcher, now))
    }

    /// Asks the dispatcher to admit a request and returns its first steps.
    pub(super) fn begin(&self, inbound: &Inbound) -> Admission {
        let signal = Arc::new(Signal::default());
        inbound.with_head(|head| {
            self.with_lock(None, |state, now| {
                let (id, matched) = match state.dispatcher.begin_with_route(now, head) {
                    Ok(started) => started,
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

    /// Returns the next steps of an exchange, in order. The last one is the time
    /// until which to wait, or the end of the exchange.
    pub(super) fn steps(&self, id: ExchangeId) -> Vec<Step> {
        self.with_lock(Some(id), |state, now| state.steps(now, id))
    }

    /// Reports an event of an attempt and returns the next steps.
    pub(super) fn report(
        &self,
        id: ExchangeId,
        attempt: AttemptNumber,
        event: AttemptEvent,
    ) -> Vec<Step> {
        self.with_lock(Some(id), |state, now| {
            state.dispatcher.on_event(now, id, attempt, event);
            state.steps(now, id)
        })
    }

    /// Asks for permission to send an attempt's request.
    pub(super) fn start_sending(&self, id: ExchangeId, attempt: AttemptNumber) -> SendDecision {
        self.with_lock(Some(id), |state, now| {
            state.dispatcher.start_sending(now, id, attempt)
        })
    }

    /// Reports that the caller disconnected.
    pub(super) fn caller_gone(&self, id: ExchangeId) {
        self.with_lock(Some(id), |state, now| {
            state.dispatcher.on_caller_disconnected(now, id);
            state.signals.remove(&id);
        });
    }

    /// Runs `act` under the lock. `own` is the exchange whose task calls this;
    /// that task reads its steps anyway and need not be woken.
    fn with_lock<R>(
        &self,
        own: Option<ExchangeId>,
        act: impl FnOnce(&mut State, Timestamp) -> R,
    ) -> R {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let result = act(&mut state, now);
        let signals = state.take_signals(own);
        drop(state);
        for signal in signals {
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

    /// Returns the signals of the exchanges that the dispatcher wants to wake,
    /// except `own`.
    fn take_signals(&mut self, own: Option<ExchangeId>) -> Vec<Arc<Signal>> {
        let woken = self.dispatcher.take_wakeups();
        woken
            .into_iter()
            .filter(|id| Some(*id) != own)
            .filter_map(|id| self.signals.get(&id).cloned())
            .collect()
    }
}
