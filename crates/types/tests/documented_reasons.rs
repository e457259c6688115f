//! The operators' page names every reason of a refusal.

use threadledge_types::validation::ProblemKind;
use threadledge_types::{BackEndId, ServiceId};

const PAGE: &str = include_str!("../../../docs/operators/configuration.md");

/// One problem of each kind. A kind that is added fails to compile in
/// [`is_listed`] until it is added here too.
fn every_kind() -> Vec<ProblemKind> {
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

/// Without a wildcard, so that the compiler asks for each new kind.
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
fn every_reason_stands_on_the_operators_page() {
    for kind in every_kind() {
        assert!(is_listed(&kind));
        let row = format!("`{}`", kind.reason());
        assert!(PAGE.contains(&row), "{row} is not documented");
        assert!(!kind.remedy().is_empty());
    }
}

#[test]
fn reasons_differ() {
    let kinds = every_kind();
    let mut reasons: Vec<&str> = kinds.iter().map(ProblemKind::reason).collect();
    reasons.sort_unstable();
    reasons.dedup();
    assert_eq!(reasons.len(), kinds.len());
}
