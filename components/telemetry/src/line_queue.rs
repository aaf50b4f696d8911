use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Sender, SyncSender, TrySendError, channel, sync_channel};
use std::time::{Duration, Instant};

/// Most lines that wait for a slow reader of the output.
const QUEUE_LINES: usize = 2048;
/// Pause between attempts to flush while the queue is full.
const FLUSH_RETRY: Duration = Duration::from_millis(1);
/// Stack of the writing thread.
const STACK_BYTES: usize = 64 << 10;

/// What the writing thread does next.
enum Task {
    Write(String),
    /// Signals that all lines before it are written.
    Acknowledge(Sender<()>),
}

/// Lines that a thread of its own writes to an output. While the reader of the output is
/// blocked, lines are lost and counted, but no caller waits.
pub(crate) struct LineQueue {
    tasks: SyncSender<Task>,
    /// Lines lost since the last notice.
    lost: AtomicU64,
    /// Renders the notice of lost lines that goes before the next line.
    lost_notice: fn(u64) -> String,
}

impl LineQueue {
    /// Starts the thread `name`, which writes to `out`.
    pub(crate) fn start(
        name: &str,
        mut out: impl Write + Send + 'static,
        lost_notice: fn(u64) -> String,
    ) -> std::io::Result<Self> {
        let (tasks, queue) = sync_channel::<Task>(QUEUE_LINES);
        std::thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while let Ok(task) = queue.recv() {
                    // If the output is closed, there is nowhere to report it, and a flush
                    // that has given up waits for nothing.
                    match task {
                        Task::Write(line) => drop(out.write_all(line.as_bytes())),
                        Task::Acknowledge(written) => drop(written.send(())),
                    }
                }
            })?;
        Ok(LineQueue {
            tasks,
            lost: AtomicU64::new(0),
            lost_notice,
        })
    }

    /// Queues a line, which ends with a line break.
    pub(crate) fn write(&self, line: String) {
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 && !self.try_write((self.lost_notice)(lost)) {
            self.lost.fetch_add(lost, Ordering::Relaxed);
        }
        if !self.try_write(line) {
            self.lost.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("turmerichold_log_lines_lost_total").increment(1);
        }
    }

    fn try_write(&self, line: String) -> bool {
        !matches!(
            self.tasks.try_send(Task::Write(line)),
            Err(TrySendError::Full(_))
        )
    }

    /// Waits until the lines queued so far are written, for at most `limit`; false if they
    /// are not.
    pub(crate) fn flush(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let (written, done) = channel();
        let mut task = Task::Acknowledge(written);
        loop {
            match self.tasks.try_send(task) {
                Ok(()) => break,
                Err(TrySendError::Full(unsent)) if Instant::now() < end => task = unsent,
                Err(_) => return false,
            }
            std::thread::sleep(FLUSH_RETRY);
        }
        let left = end.saturating_duration_since(Instant::now());
        done.recv_timeout(left).is_ok()
    }
}
