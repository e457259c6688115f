//! Handling of process signals: planned stop and settings change.

use async_signal::{Signal, Signals};
use futures::StreamExt;
use threadledge_net::StopSignal;

use crate::events::{EventId, emit};

/// Signals `stop` on SIGTERM or SIGINT. SIGHUP only logs that the settings file
/// has changed; it stops nothing.
///
/// # Errors
///
/// Fails if the signal handlers cannot be registered.
pub(super) fn watch_signals(stop: StopSignal) -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    async_std::task::spawn(async move {
        while let Some(Ok(signal)) = signals.next().await {
            if signal == Signal::Hup {
                emit!(EventId::SettingsChanged);
                continue;
            }
            emit!(EventId::StopRequested, cause = ?signal);
            stop.stop();
        }
    });
    Ok(())
}
