//! A fixed-size thread pool for background calls.

use std::thread::Builder;

use crossbeam::channel;
use crossbeam::channel::Sender;

type Closure = Box<dyn FnOnce() + Send>;

/// Runs closures on a fixed number of threads; rejects closures while its queue is full.
pub struct ThreadPool {
    queue: Sender<Closure>,
}

/// Length of the queue; it is bounded so that a slow peer cannot exhaust memory.
const MAX_QUEUED: usize = 1024;

impl ThreadPool {
    /// Starts the threads.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start a thread.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        let (queue, closures) = channel::bounded::<Closure>(MAX_QUEUED);
        for index in 0..threads {
            let closures = closures.clone();
            Builder::new()
                .name(format!("worker-{index}"))
                .spawn(move || closures.iter().for_each(|closure| closure()))
                .expect("a thread can be started");
        }
        Self { queue }
    }

    /// Queues a closure; returns `false` and drops it if the queue is full.
    pub fn submit(&self, closure: impl FnOnce() + Send + 'static) -> bool {
        self.queue.try_send(Box::new(closure)).is_ok()
    }
}
