//! Which gateway is asked to forward.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use threadledge_paths::{Forwarders, NextForwarder, Search, Witness};
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

const BACK_END: u16 = 9_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], port))
}

fn service() -> ServiceName {
    "plain".into()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn choose(
    forwarders: &mut Forwarders,
    millis: u64,
    known: &[SocketAddr],
    search: Search,
) -> NextForwarder {
    forwarders.choose(at(millis), &service(), address(BACK_END), known, search)
}

/// Asks one gateway after the other until none is left; returns how many were asked.
fn ask_all(forwarders: &mut Forwarders, now: Timestamp, known: &[SocketAddr]) -> usize {
    let mut asked = 0;
    while let NextForwarder::Ask(gateway) = forwarders.choose(
        now,
        &service(),
        address(BACK_END),
        known,
        Search::Exhaustive,
    ) {
        asked += 1;
        forwarders.on_unusable(now, &service(), gateway);
    }
    asked
}

#[test]
fn each_gateway_is_asked_once_while_none_reaches_the_back_end() {
    arbtest::arbtest(|u| {
        let gateways: u16 = u.int_in_range(0..=32)?;
        let known: Vec<SocketAddr> = (0..gateways).map(address).collect();
        let mut forwarders = Forwarders::new(u.arbitrary()?);
        assert_eq!(ask_all(&mut forwarders, at(0), &known), known.len());
        assert_eq!(ask_all(&mut forwarders, at(100), &known), 0);
        assert_eq!(ask_all(&mut forwarders, at(600), &known), known.len());
        Ok(())
    })
    .seed(0x5a3e_11d0_0000_0400);
}

#[test]
fn requests_are_spread_over_the_gateways_that_work() {
    let known: Vec<SocketAddr> = (0..10).map(address).collect();
    let mut forwarders = Forwarders::new(7);
    let mut used = BTreeSet::new();
    for millis in 0..300 {
        let now = at(millis);
        let NextForwarder::Ask(gateway) = forwarders.choose(
            now,
            &service(),
            address(BACK_END),
            &known,
            Search::Exhaustive,
        ) else {
            panic!("nobody to ask");
        };
        match gateway.port() < 6 {
            true => {
                forwarders.on_forwarded(now, &service(), address(BACK_END), gateway);
                used.insert(gateway);
            }
            false => forwarders.on_unusable(now, &service(), gateway),
        }
    }
    assert_eq!(used.len(), 6);
}

#[test]
fn back_end_is_unreachable_for_all_only_if_no_known_gateway_reaches_it() {
    arbtest::arbtest(|u| {
        let gateways: u16 = u.int_in_range(1..=32)?;
        let known: Vec<SocketAddr> = (0..gateways).map(address).collect();
        let reaches: Vec<bool> = u
            .arbitrary_iter()?
            .take(known.len())
            .collect::<Result<_, _>>()?;
        let reaches =
            |gateway: SocketAddr| *reaches.get(usize::from(gateway.port())).unwrap_or(&false);
        let mut forwarders = Forwarders::new(u.arbitrary()?);
        let mut asked = BTreeSet::new();
        let end = loop {
            match choose(&mut forwarders, 0, &known, Search::Exhaustive) {
                NextForwarder::Ask(gateway) if reaches(gateway) => break None,
                NextForwarder::Ask(gateway) => {
                    assert!(asked.insert(gateway), "asked twice");
                    forwarders.on_missed(at(0), address(BACK_END), gateway, Witness::Yes);
                }
                end => break Some(end),
            }
        };
        let reached = known.iter().any(|gateway| reaches(*gateway));
        let missed = known.len();
        let confirmed = NextForwarder::Confirmed {
            missed,
            is_new: true,
        };
        assert_eq!(end, (!reached).then_some(confirmed));
        Ok(())
    })
    .seed(0x5a3e_11d0_0000_0400);
}

#[test]
fn gateways_that_reach_no_other_back_end_of_the_service_prove_nothing() {
    let known = [address(1), address(2)];
    let mut forwarders = Forwarders::new(7);
    for gateway in known {
        forwarders.on_missed(at(0), address(BACK_END), gateway, Witness::No);
    }
    let next = choose(&mut forwarders, 10, &known, Search::Exhaustive);
    assert_eq!(next, NextForwarder::NoneLeft);
}

#[test]
fn gateway_that_reached_the_back_end_and_is_silent_now_leaves_it_open() {
    let known = [address(1), address(2)];
    let mut forwarders = Forwarders::new(7);
    forwarders.on_forwarded(at(0), &service(), address(BACK_END), address(1));
    forwarders.on_unusable(at(10), &service(), address(1));
    forwarders.on_missed(at(10), address(BACK_END), address(2), Witness::Yes);
    let next = choose(&mut forwarders, 20, &known, Search::Exhaustive);
    assert_eq!(next, NextForwarder::NoneLeft);
}

#[test]
fn right_after_a_miss_only_gateways_that_reached_the_back_end_are_asked() {
    let known: Vec<SocketAddr> = (0..10).map(address).collect();
    let mut forwarders = Forwarders::new(7);
    forwarders.on_forwarded(at(0), &service(), address(BACK_END), address(4));
    forwarders.on_missed(at(0), address(BACK_END), address(5), Witness::Yes);
    for millis in 0..150 {
        let next = choose(&mut forwarders, millis, &known, Search::Brief);
        assert_eq!(next, NextForwarder::Ask(address(4)));
    }
}

#[test]
fn brief_search_asks_three_gateways_and_then_one_after_each_pause() {
    let known: Vec<SocketAddr> = (0..10).map(address).collect();
    let mut forwarders = Forwarders::new(7);
    let mut asked = Vec::new();
    for millis in 0..400 {
        while let NextForwarder::Ask(gateway) =
            choose(&mut forwarders, millis, &known, Search::Brief)
        {
            asked.push(millis);
            forwarders.on_missed(at(millis), address(BACK_END), gateway, Witness::Yes);
        }
    }
    assert_eq!(asked, [0, 0, 0, 150, 300]);
}

#[test]
fn back_end_that_no_gateway_reached_is_asked_for_again_after_a_while() {
    let known = [address(1)];
    let mut forwarders = Forwarders::new(7);
    forwarders.on_missed(at(0), address(BACK_END), address(1), Witness::Yes);
    let next = choose(&mut forwarders, 10, &known, Search::Exhaustive);
    assert!(matches!(next, NextForwarder::Confirmed { .. }));
    let next = choose(&mut forwarders, 1_510, &known, Search::Exhaustive);
    assert_eq!(next, NextForwarder::Ask(address(1)));
}

#[test]
fn gateway_cut_from_one_service_is_still_asked_for_another() {
    let known = [address(1)];
    let mut forwarders = Forwarders::new(7);
    forwarders.on_unusable(at(0), &service(), address(1));
    let other = ServiceName::from("other");
    let next = forwarders.choose(at(1), &other, address(BACK_END), &known, Search::Exhaustive);
    assert_eq!(next, NextForwarder::Ask(address(1)));
}
