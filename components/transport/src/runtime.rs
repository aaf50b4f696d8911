use std::future::Future;

use smol::{Executor, Task};

/// All tasks run on the thread that calls [`block_on`]: VMs have one core, and
/// wakeups across threads cost more than they bring.
static TASKS: Executor<'static> = Executor::new();

/// Starts a task; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    TASKS.spawn(future)
}

/// Runs a future and all tasks on this thread until the future is done.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(TASKS.run(future))
}
