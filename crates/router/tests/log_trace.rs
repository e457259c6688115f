//! Tests of tracing a request through the logs of gateways.

use std::path::PathBuf;

use threadledge::log_trace::{TraceError, trace};

/// Log files in a temporary directory, removed afterwards.
struct Logs(PathBuf);

impl Logs {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let folder = format!("threadledge-trace-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&path).expect("a folder");
        for (file, text) in files {
            std::fs::write(path.join(file), text).expect("written");
        }
        Logs(path)
    }

    fn paths(&self, names: &[&str]) -> Vec<PathBuf> {
        names.iter().map(|name| self.0.join(name)).collect()
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const COORDINATOR: &str = r#"{"timestamp":"2026-01-01T00:00:01Z","event":310,"name":"coordinator-elected","service":"s","term":1}
{"timestamp":"2026-01-01T00:00:02Z","event":315,"name":"keys-assigned","service":"s","keys":"0-99","owner":"b-1","fence":1}
{"timestamp":"2026-01-01T00:00:02Z","event":315,"name":"keys-assigned","service":"s","keys":"100-200","owner":"b-2","fence":1}
{"timestamp":"2026-01-01T00:00:03Z","event":315,"name":"keys-assigned","service":"other","keys":"0-99","owner":"c-1","fence":1}
{"timestamp":"2026-01-01T00:00:05Z","event":316,"name":"holder-lost","service":"s","owner":"b-1"}
{"timestamp":"2026-01-01T00:00:09Z","event":315,"name":"keys-assigned","service":"s","keys":"0-99","owner":"b-2","fence":2}
"#;
const ROUTER: &str = r#"not an event
{"timestamp":"2026-01-01T00:00:04Z","event":410,"name":"store-lost","collection":"ownership"}
{"timestamp":"2026-01-01T00:00:06Z","event":510,"name":"request-ended","request":"wanted","service":"s","key":7,"outcome":"no-owner","status":503,"back_end":"","attempts":"b-1 Unreachable at 3 ms"}
{"timestamp":"2026-01-01T00:00:06Z","event":510,"name":"request-ended","request":"other","service":"s","key":150,"outcome":"answered","status":200}
{"timestamp":"2026-01-01T00:00:07Z","event":5
"#;

#[test]
fn trace_includes_owner_back_end_and_dependencies() {
    let files = [("router-1.log", COORDINATOR), ("router-2.log", ROUTER)];
    let logs = Logs::new("told", &files);
    let names = ["router-2.log", "router-1.log"];
    let found = trace("wanted", &logs.paths(&names)).expect("found");
    let lines: Vec<String> = found
        .lines
        .iter()
        .map(|(source, text)| format!("{source} {text}"))
        .collect();
    assert_eq!(lines.len(), 5, "{lines:#?}");
    assert!(lines[0].starts_with("router-1") && lines[0].contains("coordinator-elected"));
    assert!(lines[1].contains(r#"keys="0-99""#) && lines[1].contains("b-1"));
    assert!(lines[2].starts_with("router-2") && lines[2].contains("store-lost"));
    assert!(lines[3].contains("holder-lost"));
    assert!(lines[4].contains(r#"outcome="no-owner""#));
    assert_eq!(
        found.skipped, 2,
        "a line that is not an event and a truncated one"
    );
}

#[test]
fn gateway_name_is_the_word_before_the_json() {
    let line =
        r#"  6.01 front-a-2 {"timestamp":"t","event":510,"name":"request-ended","request":"r"}"#;
    let logs = Logs::new("prefixed", &[("all.log", line)]);
    let found = trace("r", &logs.paths(&["all.log"])).expect("found");
    assert_eq!(found.lines[0].0, "front-a-2");
}

#[test]
fn errors_for_unknown_request_and_unreadable_file_name_the_remedy() {
    let logs = Logs::new("unknown", &[("router-1.log", COORDINATOR)]);
    let missing = trace("nobody", &logs.paths(&["router-1.log"]));
    assert!(matches!(missing, Err(TraceError::NotFound { .. })));
    let unreadable = trace("nobody", &logs.paths(&["none.log"]));
    let message = unreadable.expect_err("unreadable").to_string();
    assert!(
        message.contains("give the path of a readable log"),
        "{message}"
    );
}

/// A caller's key was removed. The trace shows when the gateway that refused the
/// caller learned of it, and nothing of other gateways.
#[test]
fn trace_of_refused_key_includes_key_changes_of_that_gateway() {
    const GATEWAY: &str = r#"{"timestamp":"2026-01-01T00:00:01Z","event":520,"name":"tenant-keys-changed","version":4,"tenants":2,"taken":1,"added":0}
{"timestamp":"2026-01-01T00:00:02Z","event":510,"name":"request-ended","request":"wanted","service":"","outcome":"unknown-api-key","status":401,"attempts":""}
{"timestamp":"2026-01-01T00:00:03Z","event":521,"name":"tenant-keys-unsure","unconfirmed-ms":5001}
"#;
    let other = GATEWAY.replace("wanted", "another");
    let files = [("router-1.log", GATEWAY), ("router-2.log", other.as_str())];
    let logs = Logs::new("keys", &files);
    let found = trace("wanted", &logs.paths(&["router-1.log", "router-2.log"])).expect("found");
    let lines: Vec<&str> = found
        .lines
        .iter()
        .map(|(source, _)| source.as_str())
        .collect();
    assert!(
        lines.iter().all(|source| *source == "router-1"),
        "{lines:?}"
    );
    let text = found.to_string();
    assert!(text.contains("tenant-keys-changed") && text.contains("unknown-api-key"));
}
