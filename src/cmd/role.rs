use std::time::Duration;

use anyhow::Context;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use kernel::Kernel;

/// Starts a role's services, waits for a signal to stop, and drains within `drain`.
pub fn serve(kernel: Kernel, drain: Duration) -> anyhow::Result<()> {
    smol::block_on(async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int]).context("signals cannot be watched")?;
        kernel.start(drain).await?;
        if let Some(signal) = signals.next().await {
            log::info!("kernel: stopping on {:?}", signal.ok());
        }
        kernel.stop(drain).await;
        Ok(())
    })
}
