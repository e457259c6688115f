//! One connection through a proxy.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use futures::future::{Either, select, try_join};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use parking_lot::Mutex;
use rustix::net::sockopt;
use threadledge_net::timer;

use super::{Hold, Mode, State, Way, sockets};

/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// One end of a connection. async-std's lends no descriptor to reset it with.
pub(super) type Stream = Arc<Async<TcpStream>>;

/// A connection from a caller, and its continuation to the target.
#[derive(Clone)]
pub(super) struct Link {
    number: u64,
    /// The caller's port.
    port: u16,
    state: Arc<Mutex<State>>,
}

/// What happens to bytes now.
enum Treatment {
    Pass,
    Delay(Duration),
    Swallow,
    Keep,
    /// Nobody is told of anything any more.
    Silence,
}

impl Link {
    pub(super) fn new(number: u64, port: u16, state: Arc<Mutex<State>>) -> Self {
        Link {
            number,
            port,
            state,
        }
    }

    /// Passes bytes until either side has had enough, or nothing when the
    /// network was `cut` as it came up.
    pub(super) async fn run(self, near: Stream, cut: bool) {
        if cut {
            self.unheld().await;
            abort(&near);
            return;
        }
        let (reset, target) = {
            let state = self.state.lock();
            (state.reset.clone(), state.target)
        };
        let Ok(far) = Async::<TcpStream>::connect(target).await else {
            return;
        };
        let far = Arc::new(far);
        // Small messages must not wait for acknowledgements.
        let _ = near.get_ref().set_nodelay(true);
        let _ = far.get_ref().set_nodelay(true);
        let there = self.pump(near.clone(), far.clone(), Way::There);
        let back = self.pump(far.clone(), near.clone(), Way::Back);
        let pumps = Box::pin(try_join(there, back));
        match select(pumps, reset.stopped()).await {
            Either::Left((Ok(_), _)) => {}
            Either::Left((Err(_), _)) => {
                abort(&near);
                abort(&far);
                return;
            }
            Either::Right((_, pumps)) if self.is_silent() => {
                // Both sides end it some time, each for itself.
                let _ = pumps.await;
            }
            Either::Right(_) => {}
        }
        // Either side may have ended already.
        let _ = near.get_ref().shutdown(Shutdown::Both);
        let _ = far.get_ref().shutdown(Shutdown::Both);
    }

    fn is_silent(&self) -> bool {
        self.number < self.state.lock().silent
    }

    /// Whether the network between its ends is cut when it is opened.
    pub(super) fn comes_up_in_a_cut(&self) -> bool {
        let process = {
            let state = self.state.lock();
            let cut = state.hold.as_ref().filter(|hold| self.is_old(hold));
            let Some(cut) = cut else {
                return false;
            };
            cut.process.as_ref().map(|(process, _)| *process)
        };
        let Some(process) = process else {
            return true;
        };
        if !sockets::ports_of(process).contains(&self.port) {
            return false;
        }
        let mut state = self.state.lock();
        if let Some((_, ports)) = state.hold.as_mut().and_then(|hold| hold.process.as_mut()) {
            ports.insert(self.port);
        }
        true
    }

    /// Whether it was there, or opened, before a cut healed.
    fn is_old(&self, hold: &Hold) -> bool {
        hold.healed.is_none_or(|next| self.number < next)
    }

    fn is_held(&self, hold: &Hold) -> bool {
        let mine = |(_, ports): &(u32, BTreeSet<u16>)| ports.contains(&self.port);
        self.is_old(hold) && hold.process.as_ref().is_none_or(mine)
    }

    fn treatment(&self, way: Way) -> Treatment {
        let state = self.state.lock();
        if self.number < state.silent {
            return Treatment::Silence;
        }
        let hold = state.hold.as_ref().filter(|hold| self.is_held(hold));
        if hold.is_some_and(|hold| hold.ways.includes(way)) {
            return Treatment::Keep;
        }
        match (state.mode, way) {
            (Mode::Cut, _) | (Mode::Deaf, Way::Back) => Treatment::Swallow,
            (Mode::Slow(late), _) => Treatment::Delay(late),
            _ => Treatment::Pass,
        }
    }

    /// Waits until no cut holds it.
    async fn unheld(&self) {
        loop {
            let changed = {
                let state = self.state.lock();
                if !state.hold.as_ref().is_some_and(|hold| self.is_held(hold)) {
                    return;
                }
                state.changed.stopped()
            };
            changed.await;
        }
    }

    /// Passes on one way until its sender closes it. An error means that the
    /// connection is reset.
    async fn pump(&self, from: Stream, to: Stream, way: Way) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        let mut kept = Vec::new();
        let mut open = true;
        loop {
            let changed = self.state.lock().changed.stopped();
            let treatment = self.treatment(way);
            let keeps = matches!(treatment, Treatment::Keep);
            if !keeps && !kept.is_empty() {
                // A reset may have come that was not read yet.
                if let Some(error) = from.get_ref().take_error()? {
                    return Err(error);
                }
                self.deliver(&kept, &to, treatment).await?;
                kept.clear();
            }
            if !open && keeps {
                changed.await;
                continue;
            }
            if !open {
                return self.close(&to);
            }
            let mut sender = &*from;
            let read = Box::pin(sender.read(&mut chunk));
            let read = match select(read, changed).await {
                Either::Left((read, _)) => read,
                Either::Right(_) => continue,
            };
            match read {
                Ok(0) => open = false,
                Ok(read) => {
                    self.word(&mut chunk[..read], way);
                    kept.extend_from_slice(&chunk[..read]);
                }
                Err(_) if self.is_silent() => return Ok(()),
                Err(error) => {
                    self.unheld().await;
                    return Err(error);
                }
            }
        }
    }

    fn word(&self, bytes: &mut [u8], way: Way) {
        let wording = self.state.lock().wording.clone();
        match way {
            Way::There => wording.there(bytes),
            Way::Back => wording.back(bytes),
        }
    }

    async fn deliver(&self, bytes: &[u8], to: &Stream, how: Treatment) -> io::Result<()> {
        match how {
            Treatment::Keep | Treatment::Swallow | Treatment::Silence => return Ok(()),
            Treatment::Delay(late) => timer::sleep(late).await,
            Treatment::Pass => {}
        }
        (&**to).write_all(bytes).await
    }

    /// The sender has closed its way; the other way may go on.
    fn close(&self, to: &Stream) -> io::Result<()> {
        if !self.is_silent() {
            // A connection that is gone cannot be closed.
            let _ = to.get_ref().shutdown(Shutdown::Write);
        }
        Ok(())
    }
}

/// Resets a connection, when the last of its clones is dropped.
fn abort(stream: &Stream) {
    // One that is gone needs no reset.
    let _ = sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
