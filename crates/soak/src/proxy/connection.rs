//! One connection through a proxy.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use futures::future::{Either, select, try_join};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use futures::lock::Mutex as AsyncMutex;
use parking_lot::Mutex;
use rustix::net::sockopt;
use threadledge_net::timer;

use super::copies::AnswerCopies;
use super::linked::LinkedConnection;
use super::reading::READ_PAUSE;
use super::rewriter::RewriteBuffer;
use super::{Direction, Mode, Partition, State, process_ports};

/// Bytes read at once.
pub(super) const CHUNK: usize = 16 * 1024;

/// One end of a connection. The stream of async-std lends no descriptor, which
/// resetting a connection needs.
pub(super) type Stream = Arc<Async<TcpStream>>;

/// A connection from a client, and its continuation to the target.
#[derive(Clone)]
pub(super) struct ProxiedConnection {
    number: u64,
    /// Port of the client.
    port: u16,
    state: Arc<Mutex<State>>,
    /// Locked while bytes are written to the client, so that copies stand
    /// between whole answers.
    copies: Arc<AsyncMutex<AnswerCopies>>,
}

/// Handling of the bytes of one direction.
enum Treatment {
    Pass,
    Delay(Duration),
    Drop,
    Buffer,
    /// Drop bytes, and report neither closes nor errors to the other side.
    Stall,
}

impl ProxiedConnection {
    pub(super) fn new(number: u64, port: u16, state: Arc<Mutex<State>>) -> Self {
        ProxiedConnection {
            number,
            port,
            state,
            copies: Arc::default(),
        }
    }

    /// Forwards bytes until both directions are closed or the connection is
    /// reset. A connection that was opened during a partition (`partitioned`)
    /// carries nothing and is reset when the partition heals.
    pub(super) async fn run(self, client: Stream, partitioned: bool) {
        if partitioned {
            self.wait_until_healed().await;
            set_reset_on_close(&client);
            return;
        }
        let (reset, target, link) = {
            let state = self.state.lock();
            (state.reset.clone(), state.target, state.link.clone())
        };
        if let Some(link) = link {
            let rewriter = self.state.lock().rewriter.clone();
            let connection = LinkedConnection::new(link, rewriter);
            select(Box::pin(connection.run(client, target)), reset.stopped()).await;
            return;
        }
        let Ok(server) = Async::<TcpStream>::connect(target).await else {
            return;
        };
        let server = Arc::new(server);
        // Disables Nagle's algorithm: small messages must not wait for
        // acknowledgements.
        let _ = client.get_ref().set_nodelay(true);
        let _ = server.get_ref().set_nodelay(true);
        let there = self.pump(client.clone(), server.clone(), Direction::There);
        let back = self.pump(server.clone(), client.clone(), Direction::Back);
        let pumps = Box::pin(try_join(there, back));
        match select(pumps, reset.stopped()).await {
            Either::Left((Ok(_), _)) => {}
            Either::Left((Err(_), _)) => {
                set_reset_on_close(&client);
                set_reset_on_close(&server);
                return;
            }
            Either::Right((_, pumps)) if self.is_stalled() => {
                // Each side ends its part of the connection by itself.
                let _ = pumps.await;
            }
            Either::Right(_) => {}
        }
        // Either side may have ended already.
        let _ = client.get_ref().shutdown(Shutdown::Both);
        let _ = server.get_ref().shutdown(Shutdown::Both);
    }

    fn is_stalled(&self) -> bool {
        self.number < self.state.lock().stalled_before
    }

    /// Returns whether the connection is partitioned as it is opened.
    pub(super) fn is_partitioned_on_connect(&self) -> bool {
        let process = {
            let state = self.state.lock();
            let partition = state
                .partition
                .as_ref()
                .filter(|partition| self.predates_healing(partition));
            let Some(partition) = partition else {
                return false;
            };
            partition.process.as_ref().map(|(process, _)| *process)
        };
        let Some(process) = process else {
            return true;
        };
        if !process_ports::local_ports(process).contains(&self.port) {
            return false;
        }
        let mut state = self.state.lock();
        if let Some((_, ports)) = state
            .partition
            .as_mut()
            .and_then(|partition| partition.process.as_mut())
        {
            ports.insert(self.port);
        }
        true
    }

    /// Returns whether the connection was opened before the partition healed.
    fn predates_healing(&self, partition: &Partition) -> bool {
        partition.healed.is_none_or(|next| self.number < next)
    }

    fn is_partitioned(&self, partition: &Partition) -> bool {
        let mine = |(_, ports): &(u32, BTreeSet<u16>)| ports.contains(&self.port);
        self.predates_healing(partition) && partition.process.as_ref().is_none_or(mine)
    }

    fn treatment(&self, direction: Direction) -> Treatment {
        let state = self.state.lock();
        if self.number < state.stalled_before {
            return Treatment::Stall;
        }
        let partition = state
            .partition
            .as_ref()
            .filter(|partition| self.is_partitioned(partition));
        if partition.is_some_and(|partition| partition.directions.includes(direction)) {
            return Treatment::Buffer;
        }
        match (state.mode, direction) {
            (Mode::DropAll, _) | (Mode::DropResponses, Direction::Back) => Treatment::Drop,
            (Mode::Delay(delay), _) => Treatment::Delay(delay),
            _ => Treatment::Pass,
        }
    }

    /// Waits until no partition affects the connection.
    async fn wait_until_healed(&self) {
        loop {
            let changed = {
                let state = self.state.lock();
                if !state
                    .partition
                    .as_ref()
                    .is_some_and(|partition| self.is_partitioned(partition))
                {
                    return;
                }
                state.changed.stopped()
            };
            changed.await;
        }
    }

    /// Forwards one direction until its sender closes it. An error means that
    /// the connection is reset.
    async fn pump(&self, from: Stream, to: Stream, direction: Direction) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        let mut buffered = Vec::new();
        let mut rewriting = RewriteBuffer::default();
        let mut open = true;
        let mut was_slow = false;
        loop {
            let changed = self.state.lock().changed.stopped();
            let treatment = self.treatment(direction);
            let buffers = matches!(treatment, Treatment::Buffer);
            if !buffers && !buffered.is_empty() {
                // A reset may have arrived that was not read yet. It does not
                // withdraw what waited unread at a target that reads slowly.
                if !was_slow && let Some(error) = from.get_ref().take_error()? {
                    return Err(error);
                }
                let ends = (&from, &to);
                self.deliver(&buffered, ends, direction, treatment).await?;
                buffered.clear();
            }
            if !open && buffers {
                changed.await;
                continue;
            }
            if !open {
                return self.close(&to);
            }
            let pace = self.pace(direction);
            was_slow |= pace.is_some();
            let read = Box::pin(read_at_pace(&from, &mut chunk, pace));
            // A change comes first: what arrives with it is read the new way.
            let read = match select(changed, read).await {
                Either::Left(_) => continue,
                Either::Right((read, _)) => read,
            };
            match read {
                Ok(0) => {
                    open = false;
                    buffered.extend(rewriting.finish());
                }
                Ok(read) => {
                    let rewriter = self.state.lock().rewriter.clone();
                    buffered.extend(rewriting.pass(&chunk[..read], &rewriter, direction));
                }
                Err(_) if self.is_stalled() => return Ok(()),
                Err(error) => {
                    self.wait_until_healed().await;
                    return Err(error);
                }
            }
        }
    }

    /// Returns how many bytes each read takes if the target reads slowly.
    fn pace(&self, direction: Direction) -> Option<NonZeroUsize> {
        match direction {
            Direction::There => self.state.lock().reading.bytes_per_read(),
            Direction::Back => None,
        }
    }

    async fn deliver(
        &self,
        bytes: &[u8],
        (from, to): (&Stream, &Stream),
        direction: Direction,
        how: Treatment,
    ) -> io::Result<()> {
        match how {
            Treatment::Buffer | Treatment::Drop | Treatment::Stall => return Ok(()),
            Treatment::Delay(delay) => timer::sleep(delay).await,
            Treatment::Pass => {}
        }
        let copies_answers = self.state.lock().doubling.is_some();
        if !copies_answers {
            return (&**to).write_all(bytes).await;
        }
        let mut copies = self.copies.lock().await;
        match direction {
            Direction::There => {
                let late = copies.take_late();
                (&**from).write_all(&late).await?;
                drop(copies);
                (&**to).write_all(bytes).await
            }
            Direction::Back => {
                (&**to).write_all(bytes).await?;
                let at_once = copies.pass(bytes, || self.state.lock().draw_copy());
                (&**to).write_all(&at_once).await
            }
        }
    }

    /// Forwards the close of one direction; the other direction stays open.
    fn close(&self, to: &Stream) -> io::Result<()> {
        if !self.is_stalled() {
            // A connection that is already gone cannot be closed.
            let _ = to.get_ref().shutdown(Shutdown::Write);
        }
        Ok(())
    }
}

/// Reads what has arrived, or only as much as the pace allows after a pause.
async fn read_at_pace(
    from: &Stream,
    chunk: &mut [u8],
    pace: Option<NonZeroUsize>,
) -> io::Result<usize> {
    let mut sender = &**from;
    let Some(bytes) = pace else {
        return sender.read(chunk).await;
    };
    timer::sleep(READ_PAUSE).await;
    let bytes = bytes.get().min(chunk.len());
    sender.read(&mut chunk[..bytes]).await
}

/// Makes the connection be reset when the last clone of the stream is dropped.
pub(super) fn set_reset_on_close(stream: &Stream) {
    // A connection that is already gone needs no reset.
    let _ = sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
}
