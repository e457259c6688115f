//! The process that hosts back ends and accepts their connections.

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
/// Fails if an address cannot be bound.
pub async fn run_process(
    settings: Vec<BackEndSettings>,
    incarnation: Incarnation,
    admission: Admission,
    recorder: Recorder,
) -> io::Result<()> {
    let mut tasks = Vec::with_capacity(settings.len());
    for one in settings {
        let back_end = BackEnd::new(one, incarnation, recorder.clone()).with_admission(admission);
        tasks.push(serve(Arc::new(back_end)).await?.requests);
    }
    recorder.ready();
    try_join_all(tasks).await?;
    Ok(())
}

/// A running back end.
pub struct RunningBackEnd {
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for leases, health and load.
    pub control_address: SocketAddr,
    /// Task that accepts requests; it ends when accepting fails.
    pub requests: task::JoinHandle<io::Result<()>>,
}

/// Binds both addresses of a back end and serves them in tasks.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(back_end: Arc<BackEnd>) -> io::Result<RunningBackEnd> {
    let requests = TcpListener::bind(back_end.settings.address).await?;
    let leases = TcpListener::bind(back_end.settings.control_address).await?;
    let address = requests.local_addr()?;
    let control_address = leases.local_addr()?;
    task::spawn(accept_control(back_end.clone(), leases));
    Ok(RunningBackEnd {
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
            // The connection is closed before any of a request is read.
            continue;
        }
        let back_end = back_end.clone();
        task::spawn(async move {
            let _guard = guard;
            task::sleep(back_end.settings.connect()).await;
            set_nodelay(&stream);
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
        set_nodelay(&stream);
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

/// Disables Nagle's algorithm. Head and body are written separately, and
/// waiting for the acknowledgement of the head would delay the body by tens of
/// milliseconds.
fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection without TCP_NODELAY");
    }
}

/// Counts an open connection until it is dropped.
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
