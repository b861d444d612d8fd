//! Telling calls that targets make from calls that callers make.

use lynxcleat_policy::{CallKind, CallOrigins};

#[test]
fn a_kind_seen_at_targets_of_several_services_is_made_by_callers() {
    let mut origins = CallOrigins::default();
    let (lookup, check) = (CallKind(1), CallKind(2));
    for _ in 0..100 {
        origins.record(lookup, "stock");
        origins.record(check, "stock");
    }
    assert!(
        !origins.is_from_callers(lookup),
        "so far it may be made by targets"
    );
    origins.record(lookup, "claims");
    origins.record(lookup, "stock");
    assert!(origins.is_from_callers(lookup));
    assert!(!origins.is_from_callers(check));
}

#[test]
fn the_number_of_tracked_kinds_is_bounded() {
    let mut origins = CallOrigins::default();
    for kind in 0..10_000 {
        origins.record(CallKind(kind), "stock");
        origins.record(CallKind(kind), "claims");
    }
    let known = (0..10_000).filter(|kind| origins.is_from_callers(CallKind(*kind)));
    assert_eq!(known.count(), 256);
}
