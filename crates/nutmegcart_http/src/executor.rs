//! A thread that runs tasks.

use std::future::Future;
use std::pin::Pin;
use std::sync::mpsc;
use std::thread::Builder;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// Result of starting an executor.
pub type Result<T> = std::io::Result<T>;

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;
type Task = Box<dyn FnOnce() -> LocalFuture + Send>;

/// Runs tasks on a thread of its own; clones share the thread.
///
/// When the last clone is dropped, the thread ends and drops its tasks.
#[derive(Clone)]
pub struct LocalExecutor {
    tasks: UnboundedSender<Task>,
}

impl LocalExecutor {
    /// Starts the thread; at most `blocking_threads` more run calls that block.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot create the event queue or the thread.
    pub fn start(name: &str, blocking_threads: usize) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .max_blocking_threads(blocking_threads)
            .thread_name(format!("{name}-calls"))
            .enable_all()
            .build()?;
        let (tasks, mut received) = unbounded_channel::<Task>();
        Builder::new().name(name.into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                while let Some(task) = received.recv().await {
                    spawn_local(task());
                }
            });
        })?;
        Ok(Self { tasks })
    }

    /// Runs the future that the closure returns, in the background.
    pub fn spawn<F: Future<Output = ()> + 'static>(
        &self,
        task: impl FnOnce() -> F + Send + 'static,
    ) {
        // The thread ends only when every clone of the sender is gone.
        let _ = self.tasks.send(Box::new(move || Box::pin(task())));
    }

    /// Runs the future that the closure returns and waits for its result.
    ///
    /// Returns `None` if the future panicked. Must not be called from a task of this executor.
    ///
    /// ```
    /// let executor = nutmegcart_http::LocalExecutor::start("example", 1).unwrap();
    /// assert_eq!(executor.run(|| async { 1 + 1 }), Some(2));
    /// ```
    pub fn run<T: Send + 'static, F: Future<Output = T> + 'static>(
        &self,
        task: impl FnOnce() -> F + Send + 'static,
    ) -> Option<T> {
        let (result, received) = mpsc::sync_channel(1);
        self.spawn(move || {
            let future = task();
            async move {
                // The receiver waits until the sender is used or dropped.
                let _ = result.send(future.await);
            }
        });
        received.recv().ok()
    }
}
