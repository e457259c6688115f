//! Handling of process signals.

use async_signal::{Signal, Signals};
use futures::StreamExt;
use threadledge_net::StopSignal;

use crate::events::{EventId, emit};

/// Signals `stop` on SIGTERM or SIGINT, so that both start a planned stop.
///
/// # Errors
///
/// Fails if the signal handlers cannot be registered.
pub fn stop_on_signal(stop: StopSignal) -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    async_std::task::spawn(async move {
        if let Some(Ok(signal)) = signals.next().await {
            emit!(EventId::StopRequested, cause = ?signal);
            stop.stop();
        }
    });
    Ok(())
}
