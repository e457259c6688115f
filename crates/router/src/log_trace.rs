//! Traces one request through the logs of gateways: its own lines, and the
//! latest state changes of its key, its back ends and the gateway's
//! dependencies before it ended.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;
use threadledge_types::deployment::{KeyRange, ShardKey};

use crate::events::EventId;

/// Events about a back end that affect its requests.
const BACK_END_EVENTS: [EventId; 5] = [
    EventId::HolderLost,
    EventId::BackEndRegistered,
    EventId::BackEndLeaving,
    EventId::RegistrationLapsed,
    EventId::BackEndGone,
];

/// Events about key ranges.
const KEY_EVENTS: [EventId; 4] = [
    EventId::ReleaseStarted,
    EventId::ReleaseEnded,
    EventId::KeysAssigned,
    EventId::OrderFenced,
];

/// Events about the dependencies of a gateway.
const DEPENDENCY_EVENTS: [EventId; 10] = [
    EventId::StoreLost,
    EventId::StoreRegained,
    EventId::LearnedFromPeer,
    EventId::TenantKeysChanged,
    EventId::KeysUnsure,
    EventId::KeysSure,
    EventId::CoordinatorElected,
    EventId::CoordinatorDeposed,
    EventId::CoordinatorLapsed,
    EventId::RouterStarted,
];

/// Error of a trace.
#[derive(Debug, Error)]
pub enum TraceError {
    /// A file cannot be read.
    #[error("{path} cannot be read ({cause}); give the path of a readable log")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// No line names the request.
    #[error(
        "no line names request {request}; ordinary successes are only sampled, and the \
         logs of every gateway are needed"
    )]
    NotFound {
        /// The request's id.
        request: String,
    },
}

/// The fields of a log line that a trace needs.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    timestamp: String,
    event: u32,
    name: String,
    request: Option<String>,
    service: Option<String>,
    key: Option<u16>,
    keys: Option<String>,
    owner: Option<String>,
    back_end: Option<String>,
    attempts: Option<String>,
}

/// A log line with the gateway that wrote it.
#[derive(Clone, Debug)]
struct LogEntry {
    source: String,
    line: Line,
    text: String,
}

/// The trace of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The lines in the order of time, each with the gateway that wrote it.
    pub lines: Vec<(String, String)>,
    /// Number of lines that were skipped because they are not events.
    pub skipped: usize,
}

impl fmt::Display for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (source, text) in &self.lines {
            writeln!(formatter, "{source}: {text}")?;
        }
        write!(formatter, "{} other lines skipped", self.skipped)
    }
}

/// Traces one request through the logs of all gateways.
///
/// # Errors
///
/// Fails if a file cannot be read or no line names the request.
pub fn trace(request: &str, files: &[PathBuf]) -> Result<Trace, TraceError> {
    let mut entries = Vec::new();
    let mut skipped = 0;
    for path in files {
        let text = std::fs::read(path).map_err(|cause| TraceError::Unreadable {
            path: path.clone(),
            cause,
        })?;
        let file = path.file_stem().unwrap_or_default().to_string_lossy();
        for line in String::from_utf8_lossy(&text).lines() {
            match read_line(&file, line) {
                Some(line) => entries.push(line),
                None => skipped += 1,
            }
        }
    }
    entries.sort_by(|left, right| left.line.timestamp.cmp(&right.line.timestamp));
    let lines = relevant_lines(request, &entries);
    if lines.is_empty() {
        let request = request.to_owned();
        return Err(TraceError::NotFound { request });
    }
    Ok(Trace { lines, skipped })
}

/// Parses one line. The last word before the JSON object, if any, is the name
/// of the gateway.
fn read_line(file: &str, text: &str) -> Option<LogEntry> {
    let start = text.find('{')?;
    let line: Line = serde_json::from_str(&text[start..]).ok()?;
    let before = text[..start].split_whitespace().last();
    Some(LogEntry {
        source: before.unwrap_or(file).to_owned(),
        line,
        text: text[start..].to_owned(),
    })
}

/// Returns the request's own lines, and for each subject on which it depended
/// the last change before its end.
fn relevant_lines(request: &str, entries: &[LogEntry]) -> Vec<(String, String)> {
    let is_own = |line: &Line| line.request.as_deref() == Some(request);
    let Some(last) = entries.iter().rposition(|entry| is_own(&entry.line)) else {
        return Vec::new();
    };
    let own: Vec<&LogEntry> = entries.iter().filter(|entry| is_own(&entry.line)).collect();
    let mut selected: BTreeSet<usize> = BTreeSet::new();
    for (index, entry) in entries.iter().enumerate() {
        if is_own(&entry.line) {
            selected.insert(index);
        }
    }
    let mut subjects: BTreeSet<String> = BTreeSet::new();
    for (index, entry) in entries.iter().enumerate().take(last).rev() {
        let Some(subject) = relevant_subject(entry, &own) else {
            continue;
        };
        if subjects.insert(subject) {
            selected.insert(index);
        }
    }
    selected
        .into_iter()
        .map(|index| (entries[index].source.clone(), describe(&entries[index])))
        .collect()
}

/// Returns the subject of a line if it affected one of the request's own lines.
fn relevant_subject(entry: &LogEntry, own: &[&LogEntry]) -> Option<String> {
    let line = &entry.line;
    let is = |events: &[EventId]| events.iter().any(|event| event.number() == line.event);
    if is(&KEY_EVENTS) {
        let range = line.keys.as_deref().and_then(parse_range)?;
        let has_key = |own: &&LogEntry| {
            let key = own
                .line
                .key
                .is_some_and(|key| range.contains(ShardKey(key)));
            key && own.line.service == line.service
        };
        return own.iter().any(has_key).then(|| line.name.clone());
    }
    if is(&BACK_END_EVENTS) {
        let name = line.owner.as_deref().or(line.back_end.as_deref())?;
        let was_called = |own: &&LogEntry| {
            let answered = own.line.back_end.as_deref() == Some(name);
            let attempts = own.line.attempts.as_deref().unwrap_or_default();
            answered || attempts.contains(name)
        };
        return own.iter().any(was_called).then(|| name.to_owned());
    }
    if is(&DEPENDENCY_EVENTS) {
        let same_gateway = own.iter().any(|own| own.source == entry.source);
        let election = line.event / 10 == EventId::CoordinatorElected.number() / 10;
        return (same_gateway || election).then(|| format!("{} {}", entry.source, line.name));
    }
    None
}

fn parse_range(text: &str) -> Option<KeyRange> {
    let (first, last) = text.split_once('-')?;
    KeyRange::new(first.parse().ok()?, last.parse().ok()?)
}

fn describe(entry: &LogEntry) -> String {
    let value: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&entry.text).unwrap_or_default();
    let hidden = ["timestamp", "level", "target", "event", "name"];
    let fields: Vec<String> = value
        .iter()
        .filter(|(name, value)| !hidden.contains(&name.as_str()) && value.as_str() != Some(""))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let line = &entry.line;
    format!(
        "{} {} {} {}",
        line.timestamp,
        line.event,
        line.name,
        fields.join(" ")
    )
}
