use std::time::{Duration, Instant};

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use kernel::{Drain, Kernel};
use serde_json::json;
use telemetry::{Outcome, decision, flush_decisions};

/// Time for the last lines of a process to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Starts the services of a role, waits for SIGTERM or SIGINT and stops the services
/// within `drain`. Returns when its last lines are written.
pub fn serve(kernel: Kernel, drain: Duration) -> anyhow::Result<()> {
    let result = smol::block_on(async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int]).context("cannot listen for signals")?;
        kernel.start(drain).await?;
        if let Some(signal) = signals.next().await {
            log::info!("kernel: stopping on signal {:?}", signal.ok());
        }
        let start = Instant::now();
        let drained = kernel.stop(drain).await == Drain::Complete;
        let took = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let fields = json!({ "drained": drained, "took_ms": took });
        decision("kernel", "stopped", Outcome::Change, fields);
        Ok(())
    });
    if !flush_decisions(FLUSH_LIMIT) {
        log::warn!("kernel: the last lines were not written; read standard output faster");
    }
    result
}
