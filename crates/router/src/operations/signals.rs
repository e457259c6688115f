//! Signals of the operating system.

use async_signal::{Signal, Signals};
use futures::StreamExt;
use threadledge_net::StopSignal;

use crate::events::{EventId, emit};

/// Gives `stop` on SIGTERM or SIGINT, so that both begin a planned stop.
///
/// # Errors
///
/// The signals cannot be registered.
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
