//! Which gateway is asked to forward.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use threadledge_paths::{Forwarders, NextForwarder};
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

/// Asks one gateway after the other until none is left; returns how many were asked.
fn ask_all(forwarders: &mut Forwarders, now: Timestamp, known: &[SocketAddr]) -> usize {
    let mut asked = 0;
    while let NextForwarder::Ask(gateway) =
        forwarders.choose(now, &service(), address(BACK_END), known)
    {
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
        let NextForwarder::Ask(gateway) =
            forwarders.choose(now, &service(), address(BACK_END), &known)
        else {
            panic!("nobody to ask");
        };
        match gateway.port() < 6 {
            true => {
                forwarders.on_forwarded(now, &service(), gateway);
                used.insert(gateway);
            }
            false => forwarders.on_unusable(now, &service(), gateway),
        }
    }
    assert_eq!(used.len(), 6);
}

#[test]
fn back_end_that_a_witness_did_not_reach_is_asked_for_again_after_a_while() {
    let known = [address(1)];
    let mut forwarders = Forwarders::new(7);
    forwarders.on_confirmed_unreachable(at(0), address(BACK_END));
    let choose = |forwarders: &mut Forwarders, millis| {
        forwarders.choose(at(millis), &service(), address(BACK_END), &known)
    };
    assert_eq!(choose(&mut forwarders, 10), NextForwarder::Confirmed);
    assert_eq!(choose(&mut forwarders, 310), NextForwarder::Ask(address(1)));
}

#[test]
fn gateway_cut_from_one_service_is_still_asked_for_another() {
    let known = [address(1)];
    let mut forwarders = Forwarders::new(7);
    forwarders.on_unusable(at(0), &service(), address(1));
    let other = ServiceName::from("other");
    let next = forwarders.choose(at(1), &other, address(BACK_END), &known);
    assert_eq!(next, NextForwarder::Ask(address(1)));
}
