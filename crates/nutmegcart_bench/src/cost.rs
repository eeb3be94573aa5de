//! Processor time and heap bytes of a piece of code.

use std::alloc::System;

use cpu_time::ThreadTime;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the median processor time of a call in microseconds.
pub fn processor<T>(repetitions: usize, mut call: impl FnMut() -> T) -> f64 {
    let mut times: Vec<f64> = (0..repetitions)
        .map(|_| {
            let begin = ThreadTime::now();
            std::hint::black_box(call());
            begin.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns the heap bytes that the result of a call keeps.
pub fn heap<T>(call: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let kept = call();
    let change = region.change();
    let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    drop(kept);
    bytes
}
