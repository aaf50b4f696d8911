//! Stand-ins and courses of the cases of the review. `stand CASE FOLDER` plays a case; exit
//! code 1: the rule was broken, 0: it held, 2: the case could not run.

mod client;
mod dark_crash;
mod engine;
mod fraction;
mod http;
mod manifest;
mod origin;
mod process;
mod record;
mod revoked_key;
mod silent_channels;
mod stalled_log;
mod store;

use std::path::PathBuf;

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|v| v == "0")
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    // Unwinding ends the processes that were started.
    std::panic::panic_any(CannotRun)
}

struct CannotRun;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        std::process::exit(2);
    };
    let dir = PathBuf::from(dir);
    let temp = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temp).unwrap();
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "revoked-key" => revoked_key::play(&dir, &temp),
        "silent-channels" => silent_channels::play(&dir, &temp),
        "dark-crash" => dark_crash::play(&dir, &temp),
        "fraction" => fraction::play(&dir, &temp),
        "stalled-log" => stalled_log::play(&dir, &temp),
        _ => cannot_run("no such case"),
    });
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    std::process::exit(match played {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    });
}
