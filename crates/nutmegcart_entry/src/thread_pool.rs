//! A pool of worker threads for background calls.

use std::thread::Builder;

use crossbeam::channel;
use crossbeam::channel::Sender;

type Task = Box<dyn FnOnce() + Send>;

/// Runs closures on a fixed number of threads; dropped closures are those that do not fit.
pub struct ThreadPool {
    queue: Sender<Task>,
}

/// Closures that may wait; more are rejected, so that a slow peer cannot use up memory.
const QUEUE: usize = 1024;

impl ThreadPool {
    /// Starts the threads.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start a thread.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        let (queue, tasks) = channel::bounded::<Task>(QUEUE);
        for index in 0..threads {
            let tasks = tasks.clone();
            Builder::new()
                .name(format!("worker-{index}"))
                .spawn(move || tasks.iter().for_each(|task| task()))
                .expect("a thread can be started");
        }
        Self { queue }
    }

    /// Queues a closure; returns false if the queue is full.
    pub fn submit(&self, task: impl FnOnce() + Send + 'static) -> bool {
        self.queue.try_send(Box::new(task)).is_ok()
    }
}
