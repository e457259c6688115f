//! Metrics of what a gateway costs its operators.

use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use prometheus::{Encoder, Registry, TextEncoder};
use threadledge::gateway::usage::Usage;
use threadledge_coordination::action::Freshness;
use threadledge_platform::ports;

/// Address on which nothing listens.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

fn text(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut buffer);
    encoded.expect("encoded");
    String::from_utf8(buffer).expect("text")
}

#[test]
fn every_call_to_the_store_is_counted_with_its_outcome() {
    let registry = Registry::new();
    let usage = Usage::new(&registry).expect("registered");
    let ports = usage.count_store_calls(ports(UNUSED_ADDRESS.into(), Duration::from_secs(1)));
    let listed = task::block_on(ports.back_ends.list(Freshness::Stale));
    assert!(listed.is_err());
    let watch = ports.configurations.changes(1, Duration::from_secs(1));
    assert!(watch.now_or_never().is_none(), "the call is under way");
    let text = text(&registry);
    for line in [
        r#"store_calls_total{call="list-stale",collection="back-ends",outcome="unreachable"} 1"#,
        r#"store_calls_total{call="watch",collection="configurations",outcome="abandoned"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}
