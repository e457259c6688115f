//! Test of the proxy's metrics.

use std::time::SystemTime;

use threadledge::metrics::Metrics;
use threadledge::proxy::ProxyMetrics;

use crate::back_end::Behavior;
use crate::world::World;

#[async_std::test]
async fn metrics_include_decisions_and_load() {
    let world = World::start().await;
    let metrics = Metrics::new(SystemTime::UNIX_EPOCH).unwrap();
    let proxy = ProxyMetrics::new(world.handle.clone()).unwrap();
    metrics.register(proxy).unwrap();
    world.back_end.enqueue(Behavior::Refuse("overloaded"));
    let answer = world.caller().await.get("/p?key=k").await;
    assert_eq!(answer.outcome(), "answered");
    let text = metrics.encode().unwrap();
    for line in [
        "threadledge_decisions_total{decision=\"admitted\"} 1",
        "threadledge_decisions_total{decision=\"attempt\"} 2",
        "threadledge_decisions_total{decision=\"retry\"} 1",
        "threadledge_decisions_total{decision=\"ejection\"} 0",
        "threadledge_back_end_refusals_total{refusal=\"overloaded\"} 1",
        "threadledge_back_end_requests{back_end=\"a/one\",state=\"running\"} 0",
        "threadledge_back_end_ejected{back_end=\"a/one\"} 0",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
}
