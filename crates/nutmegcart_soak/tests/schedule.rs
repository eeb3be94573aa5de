//! Tests of the faults of a seed.

use std::collections::HashSet;
use std::mem::discriminant;

use nutmegcart_soak::schedule::Fault;
use nutmegcart_soak::schedule::Schedule;
use nutmegcart_soak::schedule::Size;

/// Faults of seed 7 in version 1.
const SEED_7: &str = "
   712 to   4104 ms  instance 0 paused
  1884 to   5139 ms  store: Ignore, 1 call of 2
  4755 to   4756 ms  store forgets its history
   331 to   3986 ms  instance 2 shut down and restarted
  1171 to   5420 ms  worker 0 crashes and restarts
  4635 to   7185 ms  store to instance 1: Ignore, 1 call of 1
";

fn size(version: u32) -> Size {
    Size {
        version,
        ..Size::default()
    }
}

fn faults(seed: u64, version: u32) -> Vec<Fault> {
    Schedule::draw(seed, size(version)).rounds.concat()
}

/// Guards against a seed that does not determine its faults, or all seeds giving the same.
#[test]
fn seed_determines_the_faults() {
    let size = Size {
        instances: 4,
        seconds: 30,
        ..Size::default()
    };
    assert_eq!(Schedule::draw(3, size), Schedule::draw(3, size));
    assert_ne!(
        Schedule::draw(3, size).rounds,
        Schedule::draw(4, size).rounds
    );
}

/// Guards against kinds of faults that no seed draws, and faults outside of their round.
#[test]
fn fifty_seeds_draw_every_kind() {
    for (version, expected) in [(1, 10), (2, 12), (3, 13), (4, 13)] {
        let mut kinds = HashSet::new();
        for fault in (0..50).flat_map(|seed| faults(seed, version)) {
            assert!(fault.from_ms < fault.until_ms, "{fault}");
            kinds.insert(discriminant(&fault.kind));
        }
        assert_eq!(kinds.len(), expected, "version {version}");
    }
}

/// Guards against old seeds that no longer give the faults that they were listed for.
#[test]
fn version_1_stays_as_it_was() {
    let faults = faults(7, 1);
    let lines = faults.iter().map(|fault| format!("{fault}\n"));
    assert_eq!(lines.collect::<String>(), SEED_7.trim_start_matches('\n'));
}

/// Guards against a later version that changes the faults of an earlier one instead of adding some.
#[test]
fn later_version_only_adds_faults() {
    for (seed, version) in (0..50).flat_map(|seed| [(seed, 2), (seed, 3), (seed, 4)]) {
        let added = faults(seed, version);
        for fault in faults(seed, version - 1) {
            assert!(added.contains(&fault), "seed {seed}: {fault}");
        }
    }
}
