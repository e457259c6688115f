//! The number of gateways by which the common budgets are shared.

use std::time::Duration;

use threadledge::gateway::sources::Fleet;
use threadledge_types::Timestamp;

#[test]
fn higher_count_applies_at_once_and_lower_count_after_a_delay() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.gateways(), None);
    let mut report = |seconds: u64, gateways| {
        let now = Timestamp::from_millis(seconds * 1_000);
        fleet.set(now, gateways, now);
        fleet.gateways()
    };
    assert_eq!(report(0, 10), Some(10));
    assert_eq!(report(1, 12), Some(12));
    assert_eq!(report(2, 4), Some(12));
    assert_eq!(report(8, 7), Some(12));
    assert_eq!(report(13, 5), Some(12));
    assert_eq!(report(14, 5), Some(7));
    assert_eq!(report(15, 12), Some(12));
}

#[test]
fn isolated_gateway_gives_up_its_share_before_others_lower_their_count() {
    let mut isolated = Fleet::default();
    let mut others = Fleet::default();
    let isolated_at = Timestamp::from_millis(60_000);
    isolated.set(isolated_at, 10, isolated_at);
    others.set(isolated_at, 10, isolated_at);
    let mut now = isolated_at;
    while others.gateways() == Some(10) {
        now = now + Duration::from_millis(100);
        others.set(now, 9, now);
    }
    assert!(isolated.shared_until() < now);
    assert!(others.shared_until() > now);
}
