//! Log output: lines for people or JSON, on standard error.

use thiserror::Error;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// The log could not be set up.
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
/// A logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), LoggingError> {
    subscriber(settings, std::io::stderr)
        .try_init()
        .map_err(|error| LoggingError::Installed(error.to_string()))
}

/// A subscriber that writes to `writer`.
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

/// Only this project's own crates below `warn`: libraries are chatty.
fn filter(level: LogLevel) -> EnvFilter {
    let word = level.as_str();
    EnvFilter::new(format!("warn,threadledge={word}"))
}

impl LogLevel {
    /// The word in the settings.
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
