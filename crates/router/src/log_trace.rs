//! Reads the logs of gateways and tells what became of one request: its lines,
//! and what the gateways believed of its key and its back ends meanwhile.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use serde::Deserialize;
use thiserror::Error;
use threadledge_types::deployment::{KeyRange, ShardKey};

use crate::events::EventId;

/// Events on one back end that matter to its requests.
const BACK_END_EVENTS: [EventId; 5] = [
    EventId::HolderLost,
    EventId::BackEndRegistered,
    EventId::BackEndLeaving,
    EventId::RegistrationLapsed,
    EventId::BackEndGone,
];

/// Events on ranges of keys.
const KEY_EVENTS: [EventId; 3] = [
    EventId::ReleaseStarted,
    EventId::KeysAssigned,
    EventId::OrderFenced,
];

/// Events on what a gateway depends on.
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

/// Why there is nothing to tell.
#[derive(Debug, Error)]
pub enum TraceError {
    /// A file cannot be read.
    #[error("{path} cannot be read ({cause}); give the path of a readable log")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What failed.
        cause: std::io::Error,
    },
    /// No line names the request.
    #[error(
        "no line names request {request}; plain successes are written by sample only, and the \
         logs of every gateway are needed"
    )]
    NotFound {
        /// The request's id.
        request: String,
    },
}

/// One line of a log, as far as a trace needs it.
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

/// A line with the gateway that wrote it.
#[derive(Clone, Debug)]
struct Written {
    source: String,
    line: Line,
    text: String,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Lines in the order of time: gateway and text.
    pub lines: Vec<(String, String)>,
    /// Lines of the files that are no events, and were passed over.
    pub skipped: usize,
}

impl fmt::Display for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (source, text) in &self.lines {
            writeln!(formatter, "{source}: {text}")?;
        }
        write!(formatter, "{} other lines passed over", self.skipped)
    }
}

/// Traces one request through the logs of all gateways.
///
/// # Errors
///
/// A file cannot be read, or no line names the request.
pub fn trace(request: &str, files: &[PathBuf]) -> Result<Trace, TraceError> {
    let mut written = Vec::new();
    let mut skipped = 0;
    for path in files {
        let text = std::fs::read(path).map_err(|cause| TraceError::Unreadable {
            path: path.clone(),
            cause,
        })?;
        let file = path.file_stem().unwrap_or_default().to_string_lossy();
        for line in String::from_utf8_lossy(&text).lines() {
            match read_line(&file, line) {
                Some(line) => written.push(line),
                None => skipped += 1,
            }
        }
    }
    written.sort_by(|left, right| left.line.timestamp.cmp(&right.line.timestamp));
    let lines = relevant(request, &written);
    if lines.is_empty() {
        let request = request.to_owned();
        return Err(TraceError::NotFound { request });
    }
    Ok(Trace { lines, skipped })
}

/// Reads one line; what stands before the JSON names the gateway.
fn read_line(file: &str, text: &str) -> Option<Written> {
    let start = text.find('{')?;
    let line: Line = serde_json::from_str(&text[start..]).ok()?;
    let before = text[..start].split_whitespace().last();
    Some(Written {
        source: before.unwrap_or(file).to_owned(),
        line,
        text: text[start..].to_owned(),
    })
}

/// The request's own lines, and the last change before its end of each thing
/// that it depended on.
fn relevant(request: &str, written: &[Written]) -> Vec<(String, String)> {
    let names = |line: &Line| line.request.as_deref() == Some(request);
    let Some(last) = written.iter().rposition(|each| names(&each.line)) else {
        return Vec::new();
    };
    let own: Vec<&Written> = written.iter().filter(|each| names(&each.line)).collect();
    let mut told: BTreeSet<usize> = BTreeSet::new();
    for (index, each) in written.iter().enumerate() {
        if names(&each.line) {
            told.insert(index);
        }
    }
    let mut things: BTreeSet<String> = BTreeSet::new();
    for (index, each) in written.iter().enumerate().take(last).rev() {
        let Some(thing) = concern(each, &own) else {
            continue;
        };
        if things.insert(thing) {
            told.insert(index);
        }
    }
    told.into_iter()
        .map(|index| (written[index].source.clone(), describe(&written[index])))
        .collect()
}

/// What a line is about, if it concerns one of the request's own lines.
fn concern(each: &Written, own: &[&Written]) -> Option<String> {
    let line = &each.line;
    let is = |events: &[EventId]| events.iter().any(|event| event.number() == line.event);
    if is(&KEY_EVENTS) {
        let range = line.keys.as_deref().and_then(parse_range)?;
        let holds = |own: &&Written| {
            let key = own
                .line
                .key
                .is_some_and(|key| range.contains(ShardKey(key)));
            key && own.line.service == line.service
        };
        return own.iter().any(holds).then(|| line.name.clone());
    }
    if is(&BACK_END_EVENTS) {
        let name = line.owner.as_deref().or(line.back_end.as_deref())?;
        let asked = |own: &&Written| {
            let answered = own.line.back_end.as_deref() == Some(name);
            let attempts = own.line.attempts.as_deref().unwrap_or_default();
            answered || attempts.contains(name)
        };
        return own.iter().any(asked).then(|| name.to_owned());
    }
    if is(&DEPENDENCY_EVENTS) {
        let at_hand = own.iter().any(|own| own.source == each.source);
        let election = line.event / 10 == EventId::CoordinatorElected.number() / 10;
        return (at_hand || election).then(|| format!("{} {}", each.source, line.name));
    }
    None
}

fn parse_range(text: &str) -> Option<KeyRange> {
    let (first, last) = text.split_once('-')?;
    KeyRange::new(first.parse().ok()?, last.parse().ok()?)
}

fn describe(each: &Written) -> String {
    let value: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&each.text).unwrap_or_default();
    let hidden = ["timestamp", "level", "target", "event", "name"];
    let fields: Vec<String> = value
        .iter()
        .filter(|(name, value)| !hidden.contains(&name.as_str()) && value.as_str() != Some(""))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let line = &each.line;
    format!(
        "{} {} {} {}",
        line.timestamp,
        line.event,
        line.name,
        fields.join(" ")
    )
}
