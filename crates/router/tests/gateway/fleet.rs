//! How many gateways share what all may use together.

use threadledge::gateway::sources::Fleet;
use threadledge_types::Timestamp;

#[test]
fn more_gateways_count_at_once_and_fewer_after_a_while() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.gateways(), None);
    let mut told = |seconds: u64, gateways| {
        fleet.set(Timestamp::from_millis(seconds * 1_000), gateways);
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
