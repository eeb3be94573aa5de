//! CPU time of a call and heap memory of its result.

use std::alloc::System;

use cpu_time::ThreadTime;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Returns the median CPU time of a call on its thread, in microseconds.
pub fn cpu_time_us<T>(repetitions: usize, mut call: impl FnMut() -> T) -> f64 {
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

/// Returns the heap bytes held by the result of a call: allocated minus freed during the call.
pub fn retained_heap_bytes<T>(call: impl FnOnce() -> T) -> f64 {
    let region = Region::new(ALLOCATOR);
    let result = call();
    let change = region.change();
    let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    drop(result);
    bytes
}
