//! Tests that log lines carry event numbers in both formats.

use std::io::Write;
use std::sync::{Arc, Mutex};

use threadledge::events::{EventId, emit};
use threadledge::logging::subscriber;
use threadledge::settings::{LogFormat, LogLevel, LogSettings};

/// Collects the bytes written.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the log output of `work`.
fn logged(format: LogFormat, level: LogLevel, work: impl FnOnce()) -> String {
    let buffer = Buffer::default();
    let writer = buffer.clone();
    let settings = LogSettings { format, level };
    let subscriber = subscriber(&settings, move || writer.clone());
    tracing::subscriber::with_default(subscriber, work);
    let bytes = buffer.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("text")
}

#[test]
fn json_line_carries_number_name_and_fields() {
    let text = logged(LogFormat::Json, LogLevel::Info, || {
        emit!(EventId::RouterStarted, machine = "router-1", port = 80);
    });
    let line: serde_json::Value = serde_json::from_str(&text).expect("one JSON object");
    assert_eq!(line["event"], EventId::RouterStarted.number());
    assert_eq!(line["name"], "router-started");
    assert_eq!(line["machine"], "router-1");
    assert_eq!(line["port"], 80);
    assert_eq!(line["level"], "INFO");
}

#[test]
fn human_line_carries_number_and_fields() {
    let text = logged(LogFormat::Human, LogLevel::Info, || {
        emit!(EventId::StopCutShort, requests = 3);
    });
    assert!(text.contains("ERROR"), "{text}");
    assert!(text.contains("event=104"), "{text}");
    assert!(text.contains("requests=3"), "{text}");
}

#[test]
fn less_severe_events_are_dropped() {
    let text = logged(LogFormat::Human, LogLevel::Warn, || {
        emit!(EventId::Ready);
        emit!(EventId::NotReady, reason = "draining");
    });
    assert_eq!(text.lines().count(), 1);
    assert!(text.contains("event=107"), "{text}");
}
