//! Tests of fault commands and the history over HTTP, as the rig uses them.

use std::time::Duration;

use threadledge_lab::stand_in::object_api::{
    FAULTS_PATH, FaultCommand, HISTORY_PATH, HistoryEntry, HistoryOperation, ObjectApi,
};
use threadledge_net::HttpClient;

use super::support::{back_end, create, run_with_timeout, start_empty};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn command(api: &ObjectApi, text: &str) -> u16 {
    let request = http::Request::post(FAULTS_PATH).body(text.as_bytes().to_vec());
    let request = request.expect("a request");
    let answer = HttpClient::default()
        .send(api.address(), request, TIMEOUT)
        .await;
    answer.expect("answered").status().as_u16()
}

#[test]
fn documented_commands_are_accepted_and_others_rejected() {
    run_with_timeout(async {
        let (api, _) = start_empty().await;
        let taken = [
            r#"{"down": true}"#,
            r#"{"slow": 5}"#,
            r#"{"drop-answers": 2}"#,
            r#"{"drop-answers-at-random": {"probability": 0.1, "seed": 3}}"#,
            r#"{"lose-writes": 1}"#,
            r#"{"delay-writes": {"count": 1, "milliseconds": 5}}"#,
            r#"{"cut-watches": {"abruptly": true}}"#,
            r#""compact""#,
            r#"{"restore": {"version": 1, "bump": 100}}"#,
            r#"{"limit-watches": 3}"#,
            r#"{"limit-watches": null}"#,
            r#"{"refuse-reads": 1}"#,
            r#""clear""#,
        ];
        for text in taken {
            assert_eq!(command(&api, text).await, 200, "{text}");
        }
        assert_eq!(command(&api, r#"{"explode": true}"#).await, 400);
        assert_eq!(
            command(&api, r#"{"restore": {"version": 9999}}"#).await,
            504
        );
    });
}

#[test]
fn history_records_effects_and_sent_responses() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        api.inject_fault(&FaultCommand::DropAnswers(1))
            .expect("set");
        let lost = client.create(&back_end("b", 2_000)).await;
        assert!(lost.expect_err("no answer").is_ambiguous());
        api.inject_fault(&FaultCommand::Compact).expect("done");
        let request = http::Request::get(HISTORY_PATH).body(Vec::new());
        let request = request.expect("a request");
        let answer = HttpClient::default()
            .send(api.address(), request, TIMEOUT)
            .await;
        let body = answer.expect("answered").into_body();
        let read = |line| serde_json::from_slice::<HistoryEntry>(line).expect("an entry");
        let lines = body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        let entries: Vec<HistoryEntry> = lines.map(read).collect();
        let brief = |entry: &HistoryEntry| (entry.operation, entry.version_after, entry.answered);
        let expected = [
            (HistoryOperation::Create, 2, true),
            (HistoryOperation::Create, 3, false),
            (HistoryOperation::Compact, 3, true),
        ];
        assert_eq!(entries.iter().map(brief).collect::<Vec<_>>(), expected);
        assert_eq!(entries[1].object.as_deref(), Some("BackEnd kauri/b"));
    });
}
