//! Signals to a process that may end at any time, and processes that run for a
//! part of each period only.

use std::io;
use std::process::{Child, ExitStatus};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use threadledge_net::{Instant, timer};

/// Length of a period.
pub const PERIOD: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// The process is stopped for longer than its share says.
    paused: bool,
    /// Time for which it runs in each period; `None` if it runs all the time.
    share: Option<Duration>,
}

impl State {
    fn pid(&self) -> Option<Pid> {
        Some(Pid::from_child(self.child.as_ref()?))
    }

    /// Sends a signal, unless no process runs.
    fn signal(&self, signal: Signal) -> io::Result<()> {
        match self.pid() {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Ok(()),
        }
    }
}

/// A slot for one process at a time. Clones share it. The lock is held while a
/// signal is sent and while the process is waited for, so that no signal
/// reaches another process that has got its id.
#[derive(Clone, Debug, Default)]
pub struct ProcessSlot {
    state: Arc<Mutex<State>>,
}

impl ProcessSlot {
    /// Puts a process that was started into the slot; it is not paused.
    pub fn set(&self, child: Child) {
        let mut state = self.state.lock();
        state.child = Some(child);
        state.paused = false;
    }

    /// Returns whether a process was started and its end has not been observed.
    pub fn is_running(&self) -> bool {
        self.state.lock().child.is_some()
    }

    /// Returns the id of the process, if one is running.
    pub fn pid(&self) -> Option<u32> {
        self.state.lock().child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if one is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.state.lock().signal(signal)
    }

    /// Stops the process until it is resumed.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn pause(&self) -> io::Result<()> {
        let mut state = self.state.lock();
        state.paused = true;
        state.signal(Signal::STOP)
    }

    /// Lets a paused process go on.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn resume(&self) -> io::Result<()> {
        let mut state = self.state.lock();
        state.paused = false;
        state.signal(Signal::CONT)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut state = self.state.lock();
        if let Some(mut child) = state.child.take() {
            // A process that has already ended needs no kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process ended by itself, and forgets the
    /// process.
    pub fn take_exit_status(&self) -> Option<ExitStatus> {
        let mut state = self.state.lock();
        let status = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some(status)
    }

    /// Lets the process, and those that follow it, run for `share` of each
    /// period from now on, or all the time again.
    pub fn set_share(&self, share: Option<Duration>) {
        let mut state = self.state.lock();
        let before = std::mem::replace(&mut state.share, share);
        if before.is_none() && share.is_some() {
            task::spawn(self.clone().keep_share());
        }
    }

    /// Stops and continues the process in each period until it has no share any
    /// more.
    async fn keep_share(self) {
        while let Some(share) = self.switch(Signal::CONT) {
            let period_start = Instant::now();
            timer::sleep_until(period_start + share).await;
            self.switch(Signal::STOP);
            timer::sleep_until(period_start + PERIOD).await;
        }
    }

    /// Sends a signal, unless the process is paused. Returns its share. A
    /// process without a share goes on.
    fn switch(&self, signal: Signal) -> Option<Duration> {
        let state = self.state.lock();
        let signal = match state.share {
            Some(_) => signal,
            None => Signal::CONT,
        };
        if !state.paused {
            // A process that has ended needs no signal.
            let _ = state.signal(signal);
        }
        state.share
    }
}
