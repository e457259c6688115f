//! Signals, and the planned stop.

use async_signal::{Signal, Signals};
use futures::StreamExt;
use threadledge_net::StopSignal;

use crate::events::{EventId, emit};

/// Gives `stop` on SIGTERM or SIGINT. SIGHUP says that the settings file has
/// changed; it ends nothing.
///
/// # Errors
///
/// The signals cannot be registered.
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
