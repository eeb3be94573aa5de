//! A short soak with fixed seeds: safety and the settled state, without bounds of time.

use nutmegcart_soak::instance::build_binary;
use nutmegcart_soak::schedule::Schedule;
use nutmegcart_soak::soak::Options;
use nutmegcart_soak::soak::play;

/// Number of instances.
const INSTANCES: usize = 3;
/// Time of faults in seconds: two rounds.
const SECONDS: u64 = 16;

fn keeps_its_promises(seed: u64) {
    let options = Options {
        binary: build_binary().expect("the binary is built"),
        timed: false,
        folder: std::env::temp_dir().join("nutmegcart-soak-test"),
    };
    let schedule = Schedule::draw(seed, INSTANCES, SECONDS);
    let report = play(&schedule, &options).expect("the soak runs");
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.accepted > 0 && report.starts > 0, "{report:#?}");
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

cases! { keeps_its_promises:
    /// Guards against promises that are broken under pauses, kills and faults of the store.
    seed_0_keeps_the_promises => 0;
}
