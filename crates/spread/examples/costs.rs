//! Prints the costs of spreading records: bytes of an idle pull with its
//! answer, of a push, and of all messages of a router while nothing changes;
//! the time until a change has reached all routers; memory and time for many
//! slices. Sizes are those of the JSON bodies, without HTTP heads. Arguments:
//! numbers of routers.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use support::network::Network;
use support::*;
use threadledge_spread::{Pull, PullResponse, Replica, Settings, SpreadMessage};
use threadledge_types::Revision;
use threadledge_types::records::RecordChange;

const FANOUT: usize = 12;
const MEASURED_SECONDS: usize = 20;
const CHANGES: u64 = 30;
const SLICES: u64 = 300_000;

fn main() {
    print_message_sizes();
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
        measure_network(size);
    }
    measure_replica();
}

fn json_bytes(message: &SpreadMessage) -> usize {
    serde_json::to_vec(message).expect("JSON").len()
}

fn print_message_sizes() {
    let at = revision(1, 123_456);
    let pull = SpreadMessage::Pull(Pull {
        group: GROUP,
        sequence: 123_456,
        have: at,
        preferred: true,
        resume: None,
    });
    let answer = SpreadMessage::Answer(PullResponse {
        group: GROUP,
        sequence: 123_456,
        staleness_micros: Some(123_456),
        delta: None,
        resume: None,
        continued: false,
    });
    let mut replica = Replica::new(GROUP);
    replica.commit(at, &[slice(1, 10, at)]);
    let push = SpreadMessage::Push(replica.ordered_delta_since(Revision::NONE));
    println!(
        "idle pull {} B, its answer {} B, push of one slice {} B",
        json_bytes(&pull),
        json_bytes(&answer),
        json_bytes(&push),
    );
}

fn measure_network(size: usize) {
    let mut network = Network::new(size, &Settings::default(), 1);
    network.measure_bytes = true;
    network.set_tree(FANOUT);
    network.commit(revision(1, 1), &[service(1, 1)]);
    network.run_for(Duration::from_secs(10));
    network.sent_bytes = 0;
    network.run_for(Duration::from_secs(MEASURED_SECONDS as u64));
    let idle = network.sent_bytes as f64 / size as f64 / MEASURED_SECONDS as f64;
    let ages = (0..size).filter_map(|node| network.confirmation_age(node));
    let oldest = ages.max().unwrap_or_default();
    network.loss_percent = 2;
    let mut times: Vec<Duration> = (2..2 + CHANGES)
        .map(|index| time_to_reach_all(&mut network, index))
        .collect();
    times.sort_unstable();
    println!(
        "routers {size}: idle {idle:.0} B/s each; oldest confirmation {} ms; with 2 % loss a \
         change reaches all after median {} ms, worst {} ms",
        oldest.as_millis(),
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis(),
    );
}

fn time_to_reach_all(network: &mut Network, index: u64) -> Duration {
    let at = revision(1, index);
    let began = network.now;
    network.commit(at, &[slice(1, index * 10, at)]);
    let end = began + Duration::from_secs(20);
    network.run_until(end, |network| network.all_at(at));
    let took = network.now.since(began);
    network.run_for(Duration::from_millis(777));
    took
}

fn measure_replica() {
    let at = revision(1, 1);
    let changes: Vec<RecordChange> = (0..SLICES)
        .map(|number| slice(1, number * 10, at))
        .collect();
    let before = resident_bytes();
    let began = Instant::now();
    let mut replica = Replica::new(GROUP);
    replica.replace(at, &changes);
    let built = began.elapsed();
    let bytes = resident_bytes().saturating_sub(before);
    let began = Instant::now();
    for index in 2..1_002 {
        let at = revision(1, index);
        replica.commit(at, &[slice(1, index * 10, at)]);
        assert_eq!(
            replica
                .ordered_delta_since(revision(1, index - 1))
                .changes
                .len(),
            1
        );
    }
    let per_change = began.elapsed() / 1_000;
    println!(
        "{SLICES} slices: {} B of memory each, taken in {} ms; commit and delta of one change {} us",
        bytes / SLICES,
        built.as_millis(),
        per_change.as_nanos() as f64 / 1_000.0,
    );
}

/// Returns the resident memory of this process, or 0 where the system does not
/// report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
