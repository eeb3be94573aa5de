//! Tests of the faults of a seed.

use std::collections::HashSet;
use std::mem::discriminant;

use nutmegcart_soak::schedule::Schedule;

/// Guards against a seed that does not determine its faults, or all seeds giving the same.
#[test]
fn seed_determines_the_faults() {
    assert_eq!(Schedule::draw(3, 4, 30), Schedule::draw(3, 4, 30));
    assert_ne!(
        Schedule::draw(3, 4, 30).rounds,
        Schedule::draw(4, 4, 30).rounds
    );
}

/// Guards against kinds of faults that no seed draws, and faults outside of their round.
#[test]
fn fifty_seeds_draw_every_kind() {
    let mut kinds = HashSet::new();
    for seed in 0..50 {
        for fault in Schedule::draw(seed, 3, 16).rounds.concat() {
            assert!(fault.from_ms < fault.until_ms, "{fault}");
            kinds.insert(discriminant(&fault.kind));
        }
    }
    assert_eq!(kinds.len(), 10);
}
