//! States of the tasks of a step, beside a plain list of them.

use nutmegcart_fleet::IndexRanges;
use nutmegcart_jobs::live_task::LiveTask;
use nutmegcart_jobs::task_table::TaskTable;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns what decisions need to know of a task; no more is kept of finished ones.
fn summary(task: &LiveTask) -> (bool, u32, bool, u32) {
    let run = if task.done { 0 } else { task.last_run };
    (task.done, task.live_runs, task.started, run)
}

fn change(task: &mut LiveTask, kind: u32) {
    match kind {
        0 => {
            task.started = true;
            task.last_run += 1;
            task.live_runs += 1;
        }
        1 => task.live_runs = task.live_runs.saturating_sub(1),
        _ => {
            task.started = true;
            task.done = true;
        }
    }
}

/// Guards against a task that is started again, or never, because the table mixes it up with others of
/// its chunk.
fn table_is_like_a_list((len, seed): (usize, u64)) {
    let mut random = StdRng::seed_from_u64(seed);
    let initial = LiveTask {
        last_run: 16,
        ..LiveTask::default()
    };
    let mut list = vec![initial.clone(); len];
    let mut table = TaskTable::new(len, initial);
    for _ in 0..3 * len {
        let index = random.random_range(0..len);
        let kind = random.random_range(0..9_u32);
        if kind < 7 {
            change(&mut list[index], kind);
            change(table.get_mut(index).expect("a task"), kind);
            table.compact(index);
        } else {
            let end = (index + random.random_range(0..100_usize)).min(len);
            let bounds = [index, end].map(|bound| u32::try_from(bound).expect("small"));
            let open = list[index..end].iter().filter(|task| !task.done).count();
            let indexes = IndexRanges::from_ranges(std::iter::once(bounds[0]..bounds[1]));
            assert_eq!(table.finish(&indexes) as usize, open);
            list[index..end].iter_mut().for_each(|task| change(task, 2));
        }
        let waits = |task: &LiveTask| !task.done && task.live_runs == 0;
        let numbered = (0_u32..).zip(&list).filter(|(_, task)| waits(task));
        let expected: Vec<u32> = numbered.map(|(index, _)| index).collect();
        assert_eq!(table.matching(waits).collect::<Vec<_>>(), expected);
        assert_eq!(table.count(waits), expected.len());
        assert_eq!(table.states().any(waits), !expected.is_empty());
        assert_eq!(summary(&table[index]), summary(&list[index]));
    }
    let all = (0..len).map(|index| summary(&table[index]));
    assert!(all.eq(list.iter().map(summary)));
    // A successor or another cell takes what has run from the highest run.
    let runs = |task: &LiveTask| task.done && task.last_run < 16;
    assert_eq!(table.count(runs), 0);
}

macro_rules! cases {
    ($test:ident: $($name:ident => $argument:expr;)*) => {
        $(#[test] fn $name() { $test($argument); })*
    };
}

cases! { table_is_like_a_list:
    table_of_one_task => (1, 1);
    table_of_a_part_of_a_chunk => (40, 2);
    table_of_one_chunk => (64, 3);
    table_of_several_chunks => (300, 4);
    table_of_whole_chunks => (256, 5);
}
