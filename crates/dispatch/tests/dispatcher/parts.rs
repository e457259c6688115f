//! The route table and the weighted round robin.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::RouteTable;
use threadledge_dispatch::routes::WeightedRoundRobin;
use threadledge_types::deployment::Destination;

use super::support::{HOST, configuration, route};

#[test]
fn longest_prefix_of_the_host_wins() {
    let mut longer = route("a", "plain", true);
    longer.name = "longer".into();
    longer.path_prefix = "/a/b/".to_owned();
    let mut other = route("a", "plain", true);
    other.name = "other".into();
    other.host = "other.example".to_owned();
    let table = RouteTable::of(&configuration(
        1,
        vec![route("a", "plain", true), longer, other],
    ));
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name(HOST, "/a/x").as_deref(), Some("a"));
    assert_eq!(name(HOST, "/a/b/x").as_deref(), Some("longer"));
    assert_eq!(name("HOST.example:8080", "/a/bx").as_deref(), Some("a"));
    assert_eq!(name("other.example", "/a/b/x").as_deref(), Some("other"));
    assert_eq!(name(HOST, "/a"), None);
    assert_eq!(name("nowhere.example", "/a/x"), None);
}

#[test]
fn path_that_a_back_end_may_read_as_one_of_another_route_is_ambiguous() {
    let mut inner = route("a", "plain", true);
    inner.name = "inner".into();
    inner.path_prefix = "/a/b/".to_owned();
    let mut other = route("a", "plain", true);
    other.name = "other".into();
    other.path_prefix = "/other/".to_owned();
    let routes = vec![route("a", "plain", true), inner, other];
    let table = RouteTable::of(&configuration(1, routes));
    for path in [
        "/a/x",
        "/a/x/../y",
        "/a//x",
        "/a/x%2Fy",
        "/a/b/c/%2e%2e/d",
        "/a/{x}",
    ] {
        assert!(!table.is_ambiguous(HOST, path), "{path}");
    }
    for path in [
        "/a/../other/x",
        "/a/%2e%2e/other/x",
        "/a/..%2Fother/x",
        "/a/b/../x",
        "/a/x/../b/y",
        "/a//b/x",
        "/a/b%2Fx",
        "/a/%62/x",
        "/a/../../x",
        "/a/x\\..\\b\\y",
    ] {
        assert!(table.is_ambiguous(HOST, path), "{path}");
    }
}

#[test]
fn requests_are_distributed_by_weight_in_every_window() {
    let destinations: Vec<Destination> = [90, 0, 10]
        .map(|weight| Destination {
            service: "plain".into(),
            weight,
        })
        .into();
    let mut round_robin = WeightedRoundRobin::with_offset(0);
    let picked: Vec<usize> = (0..200).map(|_| round_robin.next(&destinations)).collect();
    for stretch in picked.windows(20) {
        let small = stretch.iter().filter(|index| **index == 2).count();
        assert_eq!(small, 2);
    }
    assert!(
        !picked.contains(&1),
        "a destination without weight gets nothing"
    );
}

/// Each of many routers gets few requests for a route: together they keep to
/// the weights only if they do not all start with the same destination.
#[test]
fn first_requests_of_many_routers_are_distributed_by_weight() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    for weights in [vec![50, 50], vec![60, 40], vec![90, 10], vec![1, 1, 1]] {
        let total: u32 = weights.iter().sum();
        let shares = weights
            .iter()
            .map(|weight| f64::from(*weight) / f64::from(total));
        let destinations: Vec<Destination> = weights
            .iter()
            .map(|weight| Destination {
                service: "plain".into(),
                weight: *weight,
            })
            .collect();
        let mut before = destinations.clone();
        before[1..].iter_mut().for_each(|each| each.weight = 0);
        let mut counts = vec![0_u32; destinations.len()];
        for _ in 0..300 {
            let mut round_robin = WeightedRoundRobin::with_offset(random.random());
            // At first, one destination has all the weight.
            round_robin.next(&before);
            counts[round_robin.next(&destinations)] += 1;
        }
        for (count, share) in counts.iter().zip(shares) {
            let picked = f64::from(*count) / 300.0;
            assert!((picked - share).abs() < 0.1, "{weights:?}: {counts:?}");
        }
    }
}
