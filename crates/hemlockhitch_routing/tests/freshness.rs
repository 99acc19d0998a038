//! The age of a node's copy of the store.

mod support;

use hemlockhitch_routing::Freshness;
use support::at;

/// Guards against a copy that looks recent because it is older than the process: monotonic
/// time starts at zero, and a node that has just started loads what another one knew.
#[test]
fn copy_that_is_older_than_the_process_has_its_age() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(40), 5_000);
    assert_eq!(freshness.age_ms(at(60)), Some(5_020));
    assert!(!freshness.is_fresh(4_850, at(60)));
    freshness.confirm(at(70), 10);
    assert_eq!(freshness.age_ms(at(80)), Some(20));
}
