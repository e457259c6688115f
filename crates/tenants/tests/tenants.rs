//! Whose callers a request comes from, over versions of the tenants.

use std::collections::{BTreeMap, BTreeSet};

use arbtest::arbitrary::{Result, Unstructured};
use threadledge_tenants::{AuthError, KeyIndex, authorize, effective_priority, find_shared_key};
use threadledge_types::deployment::{Destination, KeyDigest, Route, Tenant, TenantName};

type Tenants = BTreeMap<TenantName, Tenant>;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn tenant(keys: &[&str], priority: Option<u32>) -> Tenant {
    Tenant {
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority,
        ..Tenant::default()
    }
}

fn tenants(all: &[(&str, &[&str])]) -> Tenants {
    let named = all.iter();
    named
        .map(|(name, keys)| ((*name).into(), tenant(keys, None)))
        .collect()
}

fn index(all: &Tenants) -> KeyIndex {
    let mut index = KeyIndex::default();
    index.update(&Tenants::new(), all);
    index
}

fn holder(index: &KeyIndex, key: &str) -> Option<String> {
    let caller = index.find(&digest(key))?;
    Some(caller.name.to_string())
}

fn route(public: bool) -> Route {
    Route {
        name: "route".into(),
        host: "host.example".to_owned(),
        path_prefix: "/".to_owned(),
        repeatable: true,
        timeout: std::time::Duration::from_secs(1),
        target_latency: std::time::Duration::from_secs(1),
        priority: 2,
        max_attempts: 1,
        destinations: vec![Destination {
            service: "service".into(),
            weight: 1,
        }],
        public,
        allowed_regions: None,
    }
}

/// What is said of a key: the tenant's name, or why not.
fn said(index: &KeyIndex, public: bool, key: Option<&str>) -> Result<Option<String>, AuthError> {
    let digest = key.map(digest);
    let caller = authorize(index, true, &route(public), digest.as_ref())?;
    Ok(caller.map(|caller| caller.name.to_string()))
}

#[test]
fn key_gives_its_tenant_and_an_unknown_one_is_denied_on_every_route() {
    let index = index(&tenants(&[("a", &["a-1", "a-2"]), ("b", &["b-1"])]));
    for public in [false, true] {
        assert_eq!(said(&index, public, Some("a-2")), Ok(Some("a".to_owned())));
        assert_eq!(said(&index, public, Some("b-1")), Ok(Some("b".to_owned())));
        for unknown in ["b-2", "", "a-1, a-2", "a-1 "] {
            assert_eq!(said(&index, public, Some(unknown)), Err(AuthError::UnknownKey));
        }
    }
    assert_eq!(said(&index, false, None), Err(AuthError::MissingKey));
    assert_eq!(said(&index, true, None), Ok(None));
}

#[test]
fn nobody_is_asked_for_a_key_where_there_are_no_tenants() {
    let index = KeyIndex::default();
    for key in [None, Some(digest("a-1"))] {
        let said = authorize(&index, false, &route(false), key.as_ref());
        assert_eq!(said, Ok(None));
    }
}

#[test]
fn rank_of_the_tenant_goes_before_that_of_the_route() {
    let all = Tenants::from([
        ("first".into(), tenant(&["first-1"], Some(0))),
        ("plain".into(), tenant(&["plain-1"], None)),
    ]);
    let index = index(&all);
    let rank_of = |key: &str| effective_priority(index.find(&digest(key)).map(AsRef::as_ref), &route(false));
    assert_eq!(rank_of("first-1"), 0);
    assert_eq!(rank_of("plain-1"), 2);
    assert_eq!(effective_priority(None, &route(true)), 2);
}

#[test]
fn key_taken_away_moved_or_added_counts_from_the_next_version_on() {
    let old = tenants(&[("a", &["1", "2"]), ("b", &["3"]), ("c", &["4"])]);
    let new = tenants(&[("a", &["2"]), ("b", &["1", "3", "5"]), ("d", &["4"])]);
    let mut index = index(&old);
    let changes = index.update(&old, &new);
    assert_eq!((changes.removed, changes.added), (2, 3));
    let holders = ["1", "2", "3", "4", "5"].map(|key| holder(&index, key));
    let expected = ["b", "a", "b", "d", "b"].map(|name| Some(name.to_owned()));
    assert_eq!(holders, expected);
    let changes = index.update(&new, &tenants(&[("a", &[])]));
    assert_eq!((changes.removed, changes.added), (5, 0));
    assert!(index.is_empty());
}

#[test]
fn key_of_two_tenants_is_found_with_both_names() {
    let sound = tenants(&[("a", &["1", "2"]), ("b", &["3"]), ("c", &[])]);
    assert_eq!(find_shared_key(&sound), None);
    let shared = tenants(&[("a", &["1", "2"]), ("b", &["3"]), ("c", &["4", "2"])]);
    let found = find_shared_key(&shared).map(|(one, other)| (one.as_str(), other.as_str()));
    assert_eq!(found, Some(("a", "c")));
}

/// Tenants of which no two share a key.
fn drawn(data: &mut Unstructured<'_>) -> Result<Tenants> {
    let mut all = Tenants::new();
    for key in 0..40 {
        let tenant: u8 = data.int_in_range(0..=9)?;
        // A third of the keys is held by nobody.
        if tenant > 6 {
            continue;
        }
        let name = format!("tenant-{tenant}").as_str().into();
        let tenant: &mut Tenant = all.entry(name).or_default();
        tenant.keys.insert(digest(&format!("key-{key}")));
    }
    for tenant in all.values_mut() {
        tenant.priority = data.arbitrary::<bool>()?.then_some(1);
    }
    Ok(all)
}

/// Invariant: whatever versions came before, an index says what one built from
/// the last version alone says.
fn versions_in_turn(data: &mut Unstructured<'_>) -> Result<()> {
    let mut known = Tenants::new();
    let mut index = KeyIndex::default();
    for _ in 0..data.int_in_range(1..=6)? {
        let later = drawn(data)?;
        index.update(&known, &later);
        known = later;
    }
    let keys: BTreeSet<KeyDigest> = (0..40).map(|key| digest(&format!("key-{key}"))).collect();
    for key in &keys {
        let holders = known.iter().filter(|(_, tenant)| tenant.keys.contains(key));
        let holders: Vec<_> = holders
            .map(|(name, tenant)| (name.clone(), tenant.priority))
            .collect();
        let found = index.find(key);
        let found: Vec<_> = found
            .map(|caller| (caller.name.clone(), caller.priority))
            .into_iter()
            .collect();
        assert_eq!(found, holders);
    }
    let held: usize = known.values().map(|tenant| tenant.keys.len()).sum();
    assert_eq!(index.len(), held);
    Ok(())
}

#[test]
fn index_says_what_the_last_version_says() {
    for seed in 0..200 {
        arbtest::arbtest(versions_in_turn).seed(0x3000_0000_0000 + (seed << 32 | 4_096));
    }
}
