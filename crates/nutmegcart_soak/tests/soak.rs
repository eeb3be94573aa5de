//! A short soak with fixed seeds: safety and the settled state, without bounds of time.

use nutmegcart_soak::instance::build_binary;
use nutmegcart_soak::schedule::Schedule;
use nutmegcart_soak::schedule::Size;
use nutmegcart_soak::soak::Options;
use nutmegcart_soak::soak::play;

fn keeps_its_promises((seed, size): (u64, Size)) {
    let options = Options {
        binary: build_binary().expect("the binary is built"),
        timed: false,
        folder: std::env::temp_dir().join("nutmegcart-soak-test"),
    };
    let schedule = Schedule::draw(seed, size);
    let report = play(&schedule, &options).expect("the soak runs");
    assert!(report.broken.is_empty(), "{report:#?}");
    assert!(report.accepted > 0 && report.starts > 0, "{report:#?}");
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

fn size(version: u32, cells: u32, seconds: u64) -> Size {
    Size {
        version,
        instances: 3,
        cells,
        seconds,
    }
}

cases! { keeps_its_promises:
    /// Guards against promises that are broken under pauses, kills and faults of the store.
    seed_0_keeps_the_promises => (0, size(1, 1, 16));
    /// Guards against promises that are broken under configurations in series and resets of
    /// connections, with three cells.
    three_cells_keep_the_promises => (4, size(2, 3, 8));
    /// Guards against revoked keys that are accepted, and jobs that are shown to another organisation,
    /// while owners are killed.
    organisations_keep_the_promises => (2, size(4, 2, 8));
}
