//! The process that hosts back ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::try_join_all;
use threadledge_types::Incarnation;

use super::control::control;
use super::exchange::exchange;
use super::settings::BackEndSettings;
use super::state::{Admission, BackEnd};
use crate::history::Recorder;

/// Serves all back ends of this process until the process ends.
///
/// # Errors
///
/// An address that cannot be bound.
pub async fn run_process(
    settings: Vec<BackEndSettings>,
    incarnation: Incarnation,
    admission: Admission,
    recorder: Recorder,
) -> io::Result<()> {
    let mut tasks = Vec::with_capacity(settings.len());
    for one in settings {
        let back_end = BackEnd::new(one, incarnation, recorder.clone()).admitting(admission);
        tasks.push(serve(Arc::new(back_end)).await?.requests);
    }
    recorder.ready();
    try_join_all(tasks).await?;
    Ok(())
}

/// A back end that serves.
pub struct Serving {
    /// Where requests come.
    pub address: SocketAddr,
    /// Where leases, health and load are exchanged.
    pub control_address: SocketAddr,
    /// Ends when the request address can no longer be listened on.
    pub requests: task::JoinHandle<io::Result<()>>,
}

/// Binds both addresses of a back end and serves them in tasks.
///
/// # Errors
///
/// An address that cannot be bound.
pub async fn serve(back_end: Arc<BackEnd>) -> io::Result<Serving> {
    let requests = TcpListener::bind(back_end.settings.address).await?;
    let leases = TcpListener::bind(back_end.settings.control_address).await?;
    let address = requests.local_addr()?;
    let control_address = leases.local_addr()?;
    task::spawn(accept_control(back_end.clone(), leases));
    Ok(Serving {
        address,
        control_address,
        requests: task::spawn(accept_requests(back_end, requests)),
    })
}

async fn accept_requests(back_end: Arc<BackEnd>, listener: TcpListener) -> io::Result<()> {
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        let guard = OpenConnection::new(&open);
        if guard.number > back_end.settings.connections {
            // Closed at once: nothing of a request was read.
            continue;
        }
        let back_end = back_end.clone();
        task::spawn(async move {
            let _guard = guard;
            task::sleep(back_end.settings.connect()).await;
            send_at_once(&stream);
            serve_requests(&back_end, stream).await;
        });
    }
}

async fn serve_requests(back_end: &Arc<BackEnd>, stream: TcpStream) {
    let watched = stream.clone();
    let served = async_h1::accept(stream, |request| {
        let back_end = back_end.clone();
        let watched = watched.clone();
        async move { exchange(&back_end, &watched, request).await }
    })
    .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

async fn accept_control(back_end: Arc<BackEnd>, listener: TcpListener) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        send_at_once(&stream);
        let back_end = back_end.clone();
        task::spawn(async move {
            let served = async_h1::accept(stream, |request| {
                let back_end = back_end.clone();
                async move { control(&back_end, request).await }
            })
            .await;
            if let Err(error) = served {
                tracing::debug!(%error, "control connection ended");
            }
        });
    }
}

/// Head and body are written apart; waiting for the acknowledgement of the
/// head would hold the body back by tens of milliseconds.
fn send_at_once(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection without TCP_NODELAY");
    }
}

/// Counts one open connection for as long as it lives.
struct OpenConnection {
    open: Arc<AtomicU32>,
    number: u32,
}

impl OpenConnection {
    fn new(open: &Arc<AtomicU32>) -> Self {
        let number = open.fetch_add(1, Ordering::SeqCst) + 1;
        OpenConnection {
            open: open.clone(),
            number,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
