use adapter::Settings;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision, flush_decisions};

/// Interval between two checks of the settings file, which may change without a
/// SIGHUP.
const CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// Time for the last lines of a process to be written; it ends 0.7 s before SIGKILL.
const FLUSH_LIMIT: std::time::Duration = std::time::Duration::from_millis(200);

/// Runs a role and waits until its last lines are written.
pub fn run_to_end(role: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let result = transport::block_on(role);
    if !flush_decisions(FLUSH_LIMIT) {
        log::warn!("kernel: the last lines were not written; read standard output faster");
    }
    result
}

/// Resolves on SIGTERM or SIGINT. Until then, logs changes of the settings file,
/// which take effect at the next start.
pub async fn stop_signal(mut settings: Settings) {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(e) => {
            log::error!("kernel: cannot listen for signals: {e}");
            return std::future::pending().await;
        }
    };
    loop {
        let signal = signals.next().or(async {
            Timer::after(CHECK_INTERVAL).await;
            Some(Ok(Signal::Hup))
        });
        match signal.await {
            Some(Ok(Signal::Hup)) => settings = reload(settings),
            Some(Ok(_)) | None => return,
            Some(Err(e)) => log::warn!("kernel: cannot read a signal: {e}"),
        }
    }
}

/// Reads the settings file again and logs what changed; returns `last` if the file
/// cannot be used.
fn reload(last: Settings) -> Settings {
    match Settings::load() {
        Ok(settings) if settings == last => last,
        Ok(settings) => {
            let fields = json!({ "changed": last.differences(&settings) });
            decision("settings", "changed", Outcome::Change, fields);
            settings
        }
        Err(e) => {
            let fields = json!({ "error": e.to_string() });
            decision("settings", "not usable", Outcome::Failure, fields);
            last
        }
    }
}
