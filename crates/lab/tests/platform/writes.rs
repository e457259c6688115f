//! Tests of writes whose response is lost, or whose request is late or lost.

use threadledge_lab::stand_in::object_api::{FaultCommand, HistoryEntry, ObjectApi};
use threadledge_object_api::{
    ObjectClient, PlatformErrorKind, ResolveSettings, Write, WriteEffect, WriteOutcome,
    write_resolved,
};
use threadledge_types::objects::{AcceptanceStatus, BackEndObject};

use super::support::{
    back_end, content, create, fast_backoff, read, resolve_settings, run_with_timeout, start_empty,
    with_slots,
};

async fn write(client: &ObjectClient, write: Write<BackEndObject>) -> WriteOutcome<BackEndObject> {
    let outcome = write_resolved(client, &write, &resolve_settings()).await;
    outcome.expect("resolved")
}

/// Returns the number of writes that changed the store.
fn effective_writes(api: &ObjectApi) -> usize {
    let changed = |entry: &&HistoryEntry| entry.version_after > entry.version_before;
    api.history().iter().filter(changed).count()
}

#[test]
fn write_that_took_effect_without_a_response_is_resolved_as_applied() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        api.inject_fault(&FaultCommand::DropAnswers(1))
            .expect("set");
        let outcome = write(&client, Write::Create(back_end("a", 1_000))).await;
        assert!(matches!(outcome, WriteOutcome::Applied(_)));
        assert_eq!(effective_writes(&api), 1);
        let history = api.history();
        assert_eq!(
            (history.len(), history[0].answered),
            (1, false),
            "sent once"
        );
    });
}

#[test]
fn lost_write_is_retried() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        api.inject_fault(&FaultCommand::LoseWrites(2)).expect("set");
        let outcome = write(&client, Write::Replace(with_slots(created, 7))).await;
        assert!(matches!(outcome, WriteOutcome::Applied(_)));
        assert_eq!(read(&client, "a").await.spec.slots, 7);
        assert_eq!(
            effective_writes(&api),
            2,
            "the creation and one replacement"
        );
    });
}

#[test]
fn delayed_write_is_applied_once() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        let delayed = FaultCommand::DelayWrites {
            count: 1,
            milliseconds: 30,
        };
        api.inject_fault(&delayed).expect("set");
        let outcome = write(&client, Write::Replace(with_slots(created, 7))).await;
        let WriteOutcome::Applied(applied) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(applied.resource_version, 3);
        // The delayed copy may not have arrived yet; its precondition fails.
        while api.history().iter().all(|entry| entry.answered) {
            async_std::task::yield_now().await;
        }
        assert_eq!(effective_writes(&api), 2);
        assert_eq!(api.version(), 3);
    });
}

#[test]
fn status_write_without_a_response_is_resolved_by_its_content() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let mut object = create(&client, "a", 1_000).await;
        object.status = Some(AcceptanceStatus {
            revision: Some("1.7".to_owned()),
            ..AcceptanceStatus::default()
        });
        api.inject_fault(&FaultCommand::DropAnswers(1))
            .expect("set");
        let outcome = write(&client, Write::ReplaceStatus(object)).await;
        assert!(matches!(outcome, WriteOutcome::Applied(_)));
        assert_eq!(effective_writes(&api), 2);
    });
}

#[test]
fn write_without_identity_is_resolved_by_version_and_content() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        let mut wanted = with_slots(back_end("a", 1_000), 7);
        wanted.metadata.resource_version = created.metadata.resource_version;
        api.inject_fault(&FaultCommand::DropAnswers(1))
            .expect("set");
        let outcome = write(&client, Write::Replace(wanted)).await;
        assert!(matches!(outcome, WriteOutcome::Applied(_)), "{outcome:?}");
    });
}

#[test]
fn conflicting_write_is_reported_and_changes_nothing() {
    run_with_timeout(async {
        let (_api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        let first = client.replace(&with_slots(created.clone(), 5)).await;
        first.expect("current");
        let outcome = write(&client, Write::Replace(with_slots(created, 6))).await;
        assert!(matches!(outcome, WriteOutcome::Conflict));
        assert_eq!(read(&client, "a").await.spec.slots, 5);
    });
}

#[test]
fn change_by_another_writer_after_a_lost_response_is_not_reverted() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        api.inject_fault(&FaultCommand::DropAnswers(1))
            .expect("set");
        let lost = client.replace(&with_slots(created.clone(), 5)).await;
        assert_eq!(lost.expect_err("no answer").effect, WriteEffect::Ambiguous);
        let current = read(&client, "a").await;
        client
            .replace(&with_slots(current, 9))
            .await
            .expect("current");
        // The first writer resolves its write only now.
        api.inject_fault(&FaultCommand::LoseWrites(1)).expect("set");
        let outcome = write(&client, Write::Replace(with_slots(created, 5))).await;
        assert!(
            matches!(outcome, WriteOutcome::Superseded(_)),
            "{outcome:?}"
        );
        assert_eq!(read(&client, "a").await.spec.slots, 9);
    });
}

#[test]
fn store_that_stays_down_leaves_the_write_ambiguous() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        api.inject_fault(&FaultCommand::Down(true)).expect("set");
        let settings = ResolveSettings {
            max_attempts: 3,
            backoff: fast_backoff(),
            seed: 1,
        };
        let write = Write::Create(back_end("a", 1_000));
        let error = write_resolved(&client, &write, &settings).await;
        assert_eq!(error.expect_err("down").effect, WriteEffect::Ambiguous);
    });
}

#[test]
fn every_write_is_applied_once_while_responses_are_dropped_at_random() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let mut object = create(&client, "a", 1_000).await;
        let drops = FaultCommand::DropAnswersAtRandom {
            probability: 0.5,
            seed: 11,
        };
        api.inject_fault(&drops).expect("set");
        for slots in 4..24 {
            let outcome = write(&client, Write::Replace(with_slots(object, slots))).await;
            let WriteOutcome::Applied(applied) = outcome else {
                panic!("{outcome:?}");
            };
            object = content(applied);
        }
        assert_eq!(effective_writes(&api), 21);
        assert_eq!(object.metadata.generation, Some(21));
        let dropped = api.history().iter().filter(|entry| !entry.answered).count();
        assert!(dropped > 0, "the seed drops some");
    });
}

#[test]
fn unconditional_replacement_is_rejected_before_it_is_sent() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let write = Write::Replace(back_end("a", 1_000));
        let error = write_resolved(&client, &write, &resolve_settings()).await;
        let error = error.expect_err("no version");
        assert!(
            matches!(error.kind, PlatformErrorKind::BadRequest(_)),
            "{error}"
        );
        assert_eq!(api.history().len(), 1);
    });
}
