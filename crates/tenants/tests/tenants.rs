//! Identification of tenants by key over several configuration versions.

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

/// Returns the name of the tenant that holds the key, or the reason for the
/// denial.
fn authorized_tenant(
    index: &KeyIndex,
    public: bool,
    key: Option<&str>,
) -> Result<Option<String>, AuthError> {
    let digest = key.map(digest);
    let caller = authorize(index, true, &route(public), digest.as_ref())?;
    Ok(caller.map(|caller| caller.name.to_string()))
}

#[test]
fn known_key_identifies_its_tenant_and_unknown_key_is_denied_on_every_route() {
    let index = index(&tenants(&[("a", &["a-1", "a-2"]), ("b", &["b-1"])]));
    for public in [false, true] {
        assert_eq!(
            authorized_tenant(&index, public, Some("a-2")),
            Ok(Some("a".to_owned()))
        );
        assert_eq!(
            authorized_tenant(&index, public, Some("b-1")),
            Ok(Some("b".to_owned()))
        );
        for unknown in ["b-2", "", "a-1, a-2", "a-1 "] {
            assert_eq!(
                authorized_tenant(&index, public, Some(unknown)),
                Err(AuthError::UnknownKey)
            );
        }
    }
    assert_eq!(
        authorized_tenant(&index, false, None),
        Err(AuthError::MissingKey)
    );
    assert_eq!(authorized_tenant(&index, true, None), Ok(None));
}

#[test]
fn no_key_is_required_without_tenants() {
    let index = KeyIndex::default();
    for key in [None, Some(digest("a-1"))] {
        let result = authorize(&index, false, &route(false), key.as_ref());
        assert_eq!(result, Ok(None));
    }
}

#[test]
fn priority_of_the_tenant_overrides_that_of_the_route() {
    let all = Tenants::from([
        ("first".into(), tenant(&["first-1"], Some(0))),
        ("plain".into(), tenant(&["plain-1"], None)),
    ]);
    let index = index(&all);
    let priority_of =
        |key: &str| effective_priority(index.find(&digest(key)).map(AsRef::as_ref), &route(false));
    assert_eq!(priority_of("first-1"), 0);
    assert_eq!(priority_of("plain-1"), 2);
    assert_eq!(effective_priority(None, &route(true)), 2);
}

#[test]
fn removed_moved_or_added_key_applies_from_the_next_version() {
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
fn shared_key_is_found_with_both_tenants() {
    let sound = tenants(&[("a", &["1", "2"]), ("b", &["3"]), ("c", &[])]);
    assert_eq!(find_shared_key(&sound), None);
    let shared = tenants(&[("a", &["1", "2"]), ("b", &["3"]), ("c", &["4", "2"])]);
    let found = find_shared_key(&shared).map(|(one, other)| (one.as_str(), other.as_str()));
    assert_eq!(found, Some(("a", "c")));
}

/// Generates tenants that share no key.
fn random_tenants(data: &mut Unstructured<'_>) -> Result<Tenants> {
    let mut all = Tenants::new();
    for key in 0..40 {
        let tenant: u8 = data.int_in_range(0..=9)?;
        // No tenant holds about a third of the keys.
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

/// Invariant: after any sequence of versions, the index equals one built from
/// the last version alone.
fn random_versions(data: &mut Unstructured<'_>) -> Result<()> {
    let mut known = Tenants::new();
    let mut index = KeyIndex::default();
    for _ in 0..data.int_in_range(1..=6)? {
        let later = random_tenants(data)?;
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
fn index_reflects_the_last_version() {
    for seed in 0..200 {
        arbtest::arbtest(random_versions).seed(0x3000_0000_0000 + (seed << 32 | 4_096));
    }
}
