//! Tests of the fan-out tree.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_membership::tree::parent_candidates;
use threadledge_types::RouterId;

const FANOUT: usize = 12;

fn routers(count: u64) -> Vec<RouterId> {
    (1..=count).map(RouterId).collect()
}

fn depth_of(own: RouterId, roots: &[RouterId], parents: &BTreeMap<RouterId, RouterId>) -> usize {
    let mut depth = 0;
    let mut at = own;
    while !roots.contains(&at) {
        at = parents[&at];
        depth += 1;
        assert!(depth < 100, "a cycle at {own}");
    }
    depth
}

#[test]
fn first_candidates_form_a_shallow_tree_below_the_roots() {
    for (count, max_depth) in [(10, 1), (100, 2), (2_200, 3), (13_000, 4)] {
        let alive = routers(count);
        let roots = [RouterId(3), RouterId(5), RouterId(7)];
        let sample: Vec<RouterId> = alive
            .iter()
            .copied()
            .step_by(1 + alive.len() / 12)
            .collect();
        let mut parents = BTreeMap::new();
        let mut wanted: Vec<RouterId> = sample.clone();
        while let Some(own) = wanted.pop() {
            if roots.contains(&own) || parents.contains_key(&own) {
                continue;
            }
            let parent = parent_candidates(own, &roots, &alive, FANOUT)[0];
            parents.insert(own, parent);
            wanted.push(parent);
        }
        let deepest = sample
            .iter()
            .map(|own| depth_of(*own, &roots, &parents))
            .max();
        assert!(deepest <= Some(max_depth), "{count} routers: {deepest:?}");
    }
}

#[test]
fn no_router_is_the_first_candidate_of_more_than_the_fan_out() {
    let alive = routers(250);
    let roots = [RouterId(10), RouterId(20), RouterId(30)];
    let mut children: BTreeMap<RouterId, usize> = BTreeMap::new();
    for own in alive.iter().filter(|id| !roots.contains(id)) {
        let parent = parent_candidates(*own, &roots, &alive, FANOUT)[0];
        *children.entry(parent).or_default() += 1;
    }
    assert_eq!(children.values().sum::<usize>(), 247);
    assert!(children.values().all(|count| *count <= FANOUT));
}

#[test]
fn candidates_are_distinct_without_own_and_end_at_all_roots() {
    let alive = routers(300);
    let roots = [RouterId(1), RouterId(2), RouterId(3)];
    for own in &alive {
        let candidates = parent_candidates(*own, &roots, &alive, FANOUT);
        let distinct: BTreeSet<RouterId> = candidates.iter().copied().collect();
        assert_eq!(distinct.len(), candidates.len());
        assert!(!distinct.contains(own));
        assert!(
            roots
                .iter()
                .all(|root| root == own || distinct.contains(root))
        );
        assert!(candidates.len() <= 2 * FANOUT + roots.len());
    }
}

#[test]
fn candidates_remain_after_the_loss_of_the_parent() {
    let alive = routers(300);
    let roots = [RouterId(1), RouterId(2), RouterId(3)];
    for own in alive.iter().skip(3).step_by(7) {
        let before = parent_candidates(*own, &roots, &alive, FANOUT);
        let lost = before[0];
        let without: Vec<RouterId> = alive.iter().copied().filter(|id| *id != lost).collect();
        let left: Vec<RouterId> = roots.iter().copied().filter(|id| *id != lost).collect();
        let after = parent_candidates(*own, &left, &without, FANOUT);
        assert!(!after.is_empty());
        assert!(!after.contains(&lost));
    }
}

#[test]
fn candidates_of_a_root_are_the_other_roots_in_the_given_order() {
    let alive = routers(20);
    let roots = [RouterId(9), RouterId(4), RouterId(6)];
    let candidates = parent_candidates(RouterId(4), &roots, &alive, FANOUT);
    assert_eq!(candidates, [RouterId(9), RouterId(6)]);
}

#[test]
fn without_roots_there_are_no_candidates() {
    let alive = routers(20);
    assert!(parent_candidates(RouterId(4), &[], &alive, FANOUT).is_empty());
}
