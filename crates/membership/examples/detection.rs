//! Measures failure detection in a simulated network. For each number of
//! routers given as an argument, prints the join time, the traffic of an idle
//! router, the time until all routers see a crash, and the effects of the loss
//! of a zone.

#[path = "../tests/support/mod.rs"]
mod support;

use support::*;
use threadledge_membership::{MemberState, Settings};

/// Number of single crashes measured per network.
const CRASHES: usize = 12;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![100, 500]
    } else {
        sizes
    };
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let mut network = Network::new(size, Settings::default(), 1);
    network.measure_bytes = true;
    network.apply_list(&list(1, 0..size));
    let joined = network.run_until(seconds(120), |network| network.all_see(size));
    let join_bytes = network.sent_bytes / size;
    network.run_for(seconds(60));
    network.sent_bytes = 0;
    network.sent_messages = 0;
    network.run_for(seconds(20));
    let bytes = network.sent_bytes / size / 20;
    let messages = network.sent_messages as f64 / size as f64 / 20.0;
    let mut times = Vec::new();
    for host in 0..CRASHES {
        times.push(measure_crash(&mut network, host));
    }
    times.sort_unstable();
    println!(
        "routers {size}: joined in {joined:?}, {join_bytes} B sent each; idle {bytes} B/s and \
         {messages:.2} messages/s each; largest message {} B; crash seen by all after \
         median {} ms, worst {} ms; false deaths {}",
        network.largest_message,
        times[CRASHES / 2],
        times[CRASHES - 1],
        false_deaths(&network),
    );
    measure_zone_loss(&mut network);
}

/// Crashes all routers of one of the three zones at once and prints how long
/// the others take to notice.
fn measure_zone_loss(network: &mut Network) {
    let size = network.hosts.len();
    for host in (0..size).filter(|host| host % ZONES == 0) {
        network.crash(host);
    }
    let left = network.hosts.iter().filter(|host| host.running).count();
    network.sent_bytes = 0;
    let most = network.run_until(seconds(60), |network| {
        let dead_seen = network.hosts.iter().filter(|host| host.running);
        let excess: usize = dead_seen.map(|host| host.core.alive().count() - left).sum();
        excess * 20 < left * (size - left)
    });
    let all = network.run_until(seconds(60), |network| network.all_see(left));
    let rest = all.unwrap_or_default();
    println!(
        "routers {size}, a zone lost at once: 95 % of all views right after {most:?}, all {:?} \
         later; {} B sent each; false deaths {}",
        rest,
        network.sent_bytes / left,
        false_deaths(network),
    );
}

/// Crashes a router and returns the milliseconds until all others see it dead.
fn measure_crash(network: &mut Network, host: usize) -> u128 {
    let id = identity(host, 1).id;
    network.crash(host);
    let took = network.run_until(seconds(20), |network| {
        network.all_have(id, MemberState::Dead)
    });
    network.run_for(seconds(2));
    took.map_or(u128::MAX, |took| took.as_millis())
}

/// Returns the number of reports that a running router is dead.
fn false_deaths(network: &Network) -> usize {
    let downs = network.hosts.iter().flat_map(|host| &host.downs);
    downs
        .filter(|(_, id, _)| {
            network
                .hosts
                .iter()
                .any(|host| host.running && host.core.identity().id == *id)
        })
        .count()
}
