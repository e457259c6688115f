//! Fair sharing of the router between namespaces.

use std::cmp::Reverse;
use std::sync::Arc;

use threadledge_routing::ExchangeId;
use threadledge_routing::backoff::splitmix64;
use threadledge_routing::fairness::{Admission, NamespaceShares, SharePolicy};
use threadledge_types::Timestamp;
use threadledge_types::objects::Priority;

const CAPACITY: u32 = 100;

struct Model {
    shares: NamespaceShares,
    last_id: u64,
    held: Vec<(ExchangeId, Arc<str>, bool)>,
}

impl Model {
    fn new() -> Self {
        let policy = SharePolicy {
            capacity: CAPACITY,
            share_percent: 50,
            reserve_percent: 10,
        };
        Model {
            shares: NamespaceShares::new(policy),
            last_id: 0,
            held: Vec::new(),
        }
    }

    fn offer(&mut self, namespace: &str, priority: Priority, waits: bool) -> Admission {
        let namespace: Arc<str> = namespace.into();
        let admission = self.shares.decide(&namespace, priority);
        match admission {
            Admission::Replace { victim, .. } => self.end(victim),
            Admission::Admit => {}
            Admission::ShareExhausted | Admission::Full => return admission,
        }
        self.last_id += 1;
        let id = ExchangeId(self.last_id);
        self.shares.add_exchange(&namespace);
        if waits {
            self.shares.start_waiting(
                &namespace,
                (priority, Reverse(Timestamp::ZERO), Reverse(id)),
            );
        }
        self.held.push((id, namespace, waits));
        admission
    }

    fn end(&mut self, id: ExchangeId) {
        let position = self.held.iter().position(|(held, _, _)| *held == id);
        let (id, namespace, _) = self.held.remove(position.expect("held"));
        for priority in [Priority::Background, Priority::Normal, Priority::Critical] {
            let eviction_order = (priority, Reverse(Timestamp::ZERO), Reverse(id));
            self.shares.stop_waiting(&namespace, eviction_order);
        }
        self.shares.remove_exchange(&namespace);
    }

    fn held_by(&self, namespace: &str) -> u32 {
        self.shares.held(namespace).0
    }
}

#[test]
fn a_single_namespace_may_use_all_but_the_reserve() {
    let mut model = Model::new();
    for _ in 0..CAPACITY * 2 {
        model.offer("a", Priority::Normal, true);
    }
    assert_eq!(model.held_by("a"), 90);
}

#[test]
fn a_flooding_namespace_leaves_others_their_share() {
    let mut model = Model::new();
    for _ in 0..CAPACITY * 2 {
        model.offer("flood", Priority::Critical, true);
    }
    for _ in 0..50 {
        let admission = model.offer("other", Priority::Background, false);
        let admitted = matches!(admission, Admission::Admit | Admission::Replace { .. });
        assert!(admitted, "{admission:?}");
        let refused = model.offer("flood", Priority::Critical, true);
        assert_eq!(refused, Admission::ShareExhausted);
    }
    assert_eq!(model.held_by("other"), 50);
    assert_eq!(model.held_by("flood"), 50);
}

#[test]
fn requests_that_were_sent_are_never_evicted() {
    let mut model = Model::new();
    for _ in 0..CAPACITY {
        model.offer("flood", Priority::Normal, false);
    }
    assert_eq!(model.held_by("flood"), 90);
    for _ in 0..20 {
        model.offer("other", Priority::Normal, false);
    }
    assert_eq!(model.held_by("flood"), 90);
    assert_eq!(model.held_by("other"), 10);
    let refused = model.offer("other", Priority::Critical, false);
    assert_eq!(refused, Admission::Full);
}

#[test]
fn within_a_namespace_higher_priorities_replace_waiting_lower_ones() {
    let mut model = Model::new();
    for _ in 0..90 {
        model.offer("a", Priority::Background, true);
    }
    let above_share = false;
    let victim = ExchangeId(90);
    let replaced = Admission::Replace {
        victim,
        above_share,
    };
    assert_eq!(model.offer("a", Priority::Critical, true), replaced);
    assert_eq!(
        model.offer("a", Priority::Background, true),
        Admission::Full
    );
}

#[test]
fn random_loads_never_exceed_the_capacity_and_keep_the_count() {
    for seed in 0..30 {
        let mut model = Model::new();
        for step in 0..2_000 {
            let draw = splitmix64(seed << 32 | step);
            let namespace = ["a", "b", "c"][(draw % 3) as usize];
            if draw >> 8 & 3 == 0 && !model.held.is_empty() {
                let position = (draw >> 16) as usize % model.held.len();
                let id = model.held[position].0;
                model.end(id);
            } else {
                model.offer(namespace, Priority::Normal, draw >> 10 & 1 == 0);
            }
            assert!(model.shares.total() <= CAPACITY);
            assert_eq!(model.shares.total() as usize, model.held.len());
        }
        while let Some((id, _, _)) = model.held.first() {
            model.end(*id);
        }
        assert_eq!(model.shares.namespaces().count(), 0);
    }
}
