//! Log output, as human-readable text or JSON: on standard error for a router,
//! on standard output for a gateway.

use thiserror::Error;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Error of installing the logger.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// A logger is installed already.
    #[error("a logger is installed already ({0}); call logging::install once a process")]
    Installed(String),
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Fails if a logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), LoggingError> {
    subscriber(settings, std::io::stderr)
        .try_init()
        .map_err(|error| LoggingError::Installed(error.to_string()))
}

/// Maximum number of log lines that wait to be written. Further lines are
/// dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Writes the queued lines when it is dropped at the end of the process.
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    /// Returns the number of lines dropped so far because the queue was full.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Installs the logger of the process on standard output. Logging never blocks:
/// lines are put into a bounded queue and dropped when it is full.
///
/// # Errors
///
/// Fails if a logger is installed already.
pub fn install_queued(settings: &LogSettings) -> Result<LogGuard, LoggingError> {
    let (writer, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    subscriber(settings, writer)
        .try_init()
        .map_err(|error| LoggingError::Installed(error.to_string()))?;
    Ok(LogGuard {
        _worker: worker,
        dropped,
    })
}

/// Returns a subscriber that writes to `writer`.
pub fn subscriber<W>(
    settings: &LogSettings,
    writer: W,
) -> Box<dyn tracing::Subscriber + Send + Sync>
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(settings.level))
        .with_ansi(false)
        .with_writer(writer);
    match settings.format {
        LogFormat::Human => Box::new(builder.with_target(false).finish()),
        LogFormat::Json => Box::new(builder.json().flatten_event(true).finish()),
    }
}

/// Limits libraries to `warn`, because they log a lot; `level` applies only to
/// this program.
fn filter(level: LogLevel) -> EnvFilter {
    let level_name = level.as_str();
    EnvFilter::new(format!("warn,threadledge={level_name}"))
}

impl LogLevel {
    /// Returns the name of the level in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}
