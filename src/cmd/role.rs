use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use kernel::Kernel;

/// Starts the services of a role, waits for SIGTERM or SIGINT and stops the services
/// within `drain`.
pub fn serve(kernel: Kernel, drain: Duration) -> anyhow::Result<()> {
    smol::block_on(async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int]).context("cannot listen for signals")?;
        kernel.start(drain).await?;
        if let Some(signal) = signals.next().await {
            log::info!("kernel: stopping on signal {:?}", signal.ok());
        }
        kernel.stop(drain).await;
        Ok(())
    })
}
