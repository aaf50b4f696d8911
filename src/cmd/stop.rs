use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Resolves when the process is told to stop. Other signals change nothing:
/// what the settings file says is in force from the next start.
pub async fn stop_signal() {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(e) => {
            log::error!("kernel: signals cannot be watched: {e}");
            return std::future::pending().await;
        }
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => log::info!("kernel: settings are read at the next start"),
            Ok(_) => return,
            Err(e) => log::warn!("kernel: signal not read: {e}"),
        }
    }
}
