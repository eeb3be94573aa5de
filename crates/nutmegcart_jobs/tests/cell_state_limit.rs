//! A cell whose state exceeds the largest value of the store.

mod support;

use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::world;

/// Size of the largest value that the store accepts, in bytes.
const MAX_VALUE: usize = 12_000;

/// Guards against an owner that repeats a transaction which the store never accepts, and with it
/// withholds the final states of all jobs of its cell. `known` tells whether the owner knows the
/// limit of the store.
fn jobs_end_beside_a_state_that_is_too_large(known: bool) {
    let mut world = world(51, 8);
    world.store.max_value = Some(MAX_VALUE);
    if known {
        world.settings.max_value = MAX_VALUE;
    }
    world.take_over();
    world.run(seconds(1.0));
    let large = submit(&mut world, 1, vec![batch_step(4_000, 2_000, 400)]);
    world.run(seconds(3.0));
    let mut jobs = Vec::new();
    for number in 2..22 {
        jobs.push(submit(&mut world, number, vec![batch_step(1, 500, 200)]));
        world.run(seconds(0.1));
    }
    let now = world.now;
    let rejected = world.owners[0].scheduler.rejected_state();
    assert!(rejected.is_some_and(|size| size > MAX_VALUE), "at {now:?}");
    world.run(seconds(1.5));
    assert!(!completed(&world, &large), "the large job is still at work");
    assert_all_completed(&world, &jobs);
    world.run(seconds(15.0));
    assert!(completed(&world, &large));
    assert_eq!(world.owners[0].scheduler.rejected_state(), None);
    assert!(
        world
            .store
            .state
            .as_ref()
            .is_some_and(|state| state.len() < MAX_VALUE)
    );
    assert_eq!(world.checker.starts, 4_020);
    assert_no_violations(&world);
}

cases! {
    jobs_end_beside_a_state_that_is_too_large:
    state_above_the_known_limit_of_the_store => true;
    state_above_an_unknown_limit_of_the_store => false;
}
