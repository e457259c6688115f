//! Checks that the operators' documentation lists every reason why an object
//! can be rejected.

use threadledge_types::validation::ProblemKind;
use threadledge_types::{BackEndId, ServiceId};

const DOCUMENTATION: &str = include_str!("../../../docs/operators/configuration.md");

/// Returns one value of each kind. When a kind is added, [`is_listed`] does not
/// compile until the kind is added there; add it here at the same time.
fn all_kinds() -> Vec<ProblemKind> {
    let text = String::new;
    vec![
        ProblemKind::Unreadable(text()),
        ProblemKind::Empty,
        ProblemKind::InvalidName(text()),
        ProblemKind::ReservedNamespace(text()),
        ProblemKind::InvalidVersion(text()),
        ProblemKind::InvalidLabel(text()),
        ProblemKind::InvalidSelector(text()),
        ProblemKind::NotAnAddress(text()),
        ProblemKind::UnusableAddress(text()),
        ProblemKind::OutOfRange {
            value: text(),
            least: text(),
            most: text(),
        },
        ProblemKind::TooMany { count: 2, most: 1 },
        ProblemKind::FewerConnectionsThanSlots {
            connections: 1,
            slots: 2,
        },
        ProblemKind::InvalidHost(text()),
        ProblemKind::HostClaimed {
            host: text(),
            holder: ServiceId::default(),
        },
        ProblemKind::AddressClaimed {
            address: "127.0.0.1:1".parse().expect("an address"),
            holder: BackEndId::default(),
        },
        ProblemKind::NothingSelected,
        ProblemKind::UnknownVersion(text()),
        ProblemKind::UnknownKind(text()),
        ProblemKind::Duplicate(text()),
        ProblemKind::InvalidPathPrefix(text()),
        ProblemKind::InvalidMethod(text()),
        ProblemKind::InvalidHeader(text()),
        ProblemKind::ShadowedRoute { earlier: text() },
    ]
}

/// Matches without a wildcard, so that the compiler rejects a kind that is
/// missing here.
fn is_listed(kind: &ProblemKind) -> bool {
    match kind {
        ProblemKind::Unreadable(_)
        | ProblemKind::Empty
        | ProblemKind::InvalidName(_)
        | ProblemKind::ReservedNamespace(_)
        | ProblemKind::InvalidVersion(_)
        | ProblemKind::InvalidLabel(_)
        | ProblemKind::InvalidSelector(_)
        | ProblemKind::NotAnAddress(_)
        | ProblemKind::UnusableAddress(_)
        | ProblemKind::OutOfRange { .. }
        | ProblemKind::TooMany { .. }
        | ProblemKind::FewerConnectionsThanSlots { .. }
        | ProblemKind::InvalidHost(_)
        | ProblemKind::HostClaimed { .. }
        | ProblemKind::AddressClaimed { .. }
        | ProblemKind::NothingSelected
        | ProblemKind::UnknownVersion(_)
        | ProblemKind::UnknownKind(_)
        | ProblemKind::Duplicate(_)
        | ProblemKind::InvalidPathPrefix(_)
        | ProblemKind::InvalidMethod(_)
        | ProblemKind::InvalidHeader(_)
        | ProblemKind::ShadowedRoute { .. } => true,
    }
}

#[test]
fn every_reason_is_documented() {
    for kind in all_kinds() {
        assert!(is_listed(&kind));
        let row = format!("`{}`", kind.reason());
        assert!(DOCUMENTATION.contains(&row), "{row} is not documented");
        assert!(!kind.remedy().is_empty());
    }
}

#[test]
fn reasons_are_unique() {
    let kinds = all_kinds();
    let mut reasons: Vec<&str> = kinds.iter().map(ProblemKind::reason).collect();
    reasons.sort_unstable();
    reasons.dedup();
    assert_eq!(reasons.len(), kinds.len());
}
