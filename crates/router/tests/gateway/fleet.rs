//! How many gateways share what all may use together.

use std::time::Duration;

use threadledge::gateway::sources::Fleet;
use threadledge_types::Timestamp;

#[test]
fn more_gateways_count_at_once_and_fewer_after_a_while() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.gateways(), None);
    let mut told = |seconds: u64, gateways| {
        let now = Timestamp::from_millis(seconds * 1_000);
        fleet.set(now, gateways, now);
        fleet.gateways()
    };
    assert_eq!(told(0, 10), Some(10));
    assert_eq!(told(1, 12), Some(12));
    assert_eq!(told(2, 4), Some(12));
    assert_eq!(told(8, 7), Some(12));
    assert_eq!(told(13, 5), Some(12));
    assert_eq!(told(14, 5), Some(7));
    assert_eq!(told(15, 12), Some(12));
}

#[test]
fn gateway_that_is_told_nothing_gives_its_share_up_before_others_count_fewer() {
    let mut cut_off = Fleet::default();
    let mut others = Fleet::default();
    let cut = Timestamp::from_millis(60_000);
    cut_off.set(cut, 10, cut);
    others.set(cut, 10, cut);
    let mut now = cut;
    while others.gateways() == Some(10) {
        now = now + Duration::from_millis(100);
        others.set(now, 9, now);
    }
    assert!(cut_off.shared_until() < now);
    assert!(others.shared_until() > now);
}
