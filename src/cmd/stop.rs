use adapter::Settings;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};

/// Pause between two looks at the settings file, which may change without a
/// signal.
const LOOK_PAUSE: std::time::Duration = std::time::Duration::from_secs(5);

/// Resolves when the process is told to stop. Until then it tells what changes
/// in the settings file; a changed file is in force from the next start.
pub async fn stop_signal(mut settings: Settings) {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(e) => {
            log::error!("kernel: signals cannot be watched: {e}");
            return std::future::pending().await;
        }
    };
    loop {
        let signal = signals.next().or(async {
            Timer::after(LOOK_PAUSE).await;
            Some(Ok(Signal::Hup))
        });
        match signal.await {
            Some(Ok(Signal::Hup)) => settings = look(settings),
            Some(Ok(_)) | None => return,
            Some(Err(e)) => log::warn!("kernel: signal not read: {e}"),
        }
    }
}

/// Reads the settings file again; one that cannot be used changes nothing.
fn look(known: Settings) -> Settings {
    match Settings::load() {
        Ok(settings) if settings == known => known,
        Ok(settings) => {
            let fields = json!({ "changed": known.differences(&settings) });
            decision("settings", "changed", Outcome::Change, fields);
            settings
        }
        Err(e) => {
            let fields = json!({ "error": e.to_string() });
            decision("settings", "not usable", Outcome::Failure, fields);
            known
        }
    }
}
