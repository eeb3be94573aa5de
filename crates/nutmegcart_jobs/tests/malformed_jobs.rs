//! Records of jobs that no caller could have handed in, and jobs with extreme values.

mod support;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::job::MAX_STEPS;
use nutmegcart_jobs::job::MAX_TASKS;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::world;

/// Guards against an owner that fails because of the stored record of one job, and with it each of
/// its successors, while the other jobs of the cell wait.
fn others_run_beside(steps: Vec<Step>) {
    let mut world = world(61, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    let broken = submit(&mut world, 1, steps);
    let other = submit(&mut world, 2, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(3.0));
    assert!(completed(&world, &other));
    world.owners[first].up = false;
    world.take_over();
    let later = submit(&mut world, 3, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(8.0));
    assert!(completed(&world, &later));
    assert!(!completed(&world, &broken));
    let owner = &world.owners.last().expect("an owner").scheduler;
    let _ = owner.pool_loads(world.now);
    let _ = owner.stalled_jobs(world.now);
    assert_no_violations(&world);
}

fn step(count: u32, after: Vec<u16>) -> Step {
    Step {
        after,
        ..batch_step(count, 4_000, 300)
    }
}

/// Returns the largest job that may be handed in, whose values are as large as their types allow.
fn extreme() -> Vec<Step> {
    let chained = |number: usize| {
        let before = number.checked_sub(1).into_iter();
        Step {
            count: MAX_TASKS,
            need: Resources::new(u64::MAX, u64::MAX, u32::MAX),
            estimate_ms: u64::MAX,
            after: before.filter_map(|on| u16::try_from(on).ok()).collect(),
            target_ms: u64::MAX,
            ..Step::default()
        }
    };
    (0..MAX_STEPS).map(chained).collect()
}

cases! { others_run_beside:
    dependency_on_a_later_step => vec![step(1, vec![7])];
    dependency_on_itself => vec![step(1, vec![0])];
    step_without_tasks => vec![step(0, Vec::new())];
    job_without_steps => Vec::new();
    more_tasks_than_allowed => vec![step(MAX_TASKS + 1, Vec::new())];
    values_at_the_limits_of_their_types => extreme();
}
