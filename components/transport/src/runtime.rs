use std::future::Future;

use smol::{Executor, Task};

/// All tasks run on the thread that calls [`block_on`]: VMs have one core, so a
/// second thread would only add the cost of wakeups between threads.
static TASKS: Executor<'static> = Executor::new();

/// Spawns a task; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    TASKS.spawn(future)
}

/// Runs a future and all spawned tasks on this thread until the future is ready.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(TASKS.run(future))
}
