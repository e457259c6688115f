//! Sends requests whose targets a URL library may rewrite, and prints what the
//! back end got.

use std::time::Duration;

use crate::back_end::{BackEnd, Config, Runs};
use crate::client::{Caller, Outcomes, Try};
use crate::gateway::{Deployment, Gateway};
use crate::record::Record;
use crate::store::Store;
use crate::{Arguments, Verdict};

const TARGETS: [&str; 9] = [
    "/entries/2f?name=O'Brien",
    "/entries/2f?a={b}|c",
    "/entries/a|b",
    "/entries/{id}",
    "/entries/a'b",
    "/entries//double",
    "/entries/a/./b",
    "/entries/a/../b",
    "/entries/%7Euser/%2e%2e/x",
];

pub fn run(arguments: &Arguments) -> Verdict {
    let record = Record::create(&arguments.record);
    let store = Store::start();
    let runs = Runs::default();
    let config = Config {
        id: "i-1".to_owned(),
        service: "plain".to_owned(),
        zone: "zone-a".to_owned(),
        keyed: false,
        slots: 2,
        queue: 8,
        work_ms: (5, 6),
        tells_load: true,
    };
    let back_end = BackEnd::start(config, 1, runs.clone(), record.clone());
    store.put(
        "config",
        "main",
        "{\"Version\":\"r7\",\"Routes\":{\"r-1\":{\"Host\":\"registry.example\",\"PathPrefix\":\"/entries/\",\"Kind\":\"unsafe\",\"TimeoutS\":2.5,\"TargetLatencyS\":1.0,\"Priority\":1,\"Service\":\"plain\",\"MaxAttempts\":2}},\"Services\":{\"plain\":{\"HealthPath\":\"/health\",\"MaxConnections\":130}},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}".to_owned(),
    );
    store.put("servers", "i-1", back_end.entry("ready", 1));
    let deployment = Deployment {
        program: arguments.program.clone(),
        folder: arguments.folder.clone(),
        store: store.address,
        zones: vec!["zone-a".to_owned()],
    };
    let gateway = Gateway::start(&deployment, "front-0", "zone-a");
    if !gateway.await_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun;
    }
    let mut caller = Caller::new(gateway.callers, Outcomes::default(), record.clone());
    let mut changed = 0;
    for target in TARGETS {
        let request = Try {
            method: "POST",
            host: "registry.example",
            path: target,
            key: None,
            deadline: Duration::from_secs(2),
            body: b"x",
        };
        let (id, outcome, _) = caller.send(&request);
        let all = runs.all.lock().unwrap();
        let got = all
            .iter()
            .find(|run| run.id == id)
            .map(|run| run.target.clone());
        let same = got.as_deref() == Some(target);
        changed += u32::from(got.is_some() && !same);
        println!(
            "{target:32} -> {got:?} {outcome:?}{}",
            if same { "" } else { "  CHANGED" }
        );
    }
    record.finish();
    if changed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
