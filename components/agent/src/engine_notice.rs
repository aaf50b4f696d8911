use std::time::Duration;

use requests::Notice;
use serde_json::json;
use telemetry::{Outcome, decision};
use wire::CallResponse;

/// Response header of an upstream that leaves, whose value is 1.
const LEAVING: &str = "server-leaving";
/// Response header of an upstream that turns requests away: the time for which it wants no
/// others, in seconds.
pub const RETRY_AFTER: &str = "retry-after";
/// Longest time for which an upstream gets no requests; longer ones are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);

/// Characters of a value that are logged.
const LOGGED_CHARS: usize = 64;

/// Reads what an upstream announces in a response.
pub fn notice_of(response: &CallResponse) -> Notice {
    let turned_away = u16::from(response.status()) == 503;
    let wait = response.header(RETRY_AFTER).filter(|_| turned_away);
    Notice {
        leaving: is_leaving(response.header_values(LEAVING)),
        retry_after: wait.and_then(parse_wait),
    }
}

/// Whether an upstream leaves. Requests to one that does do more harm than a lost upstream, so
/// values that are not specified count too, except 0, and one of several is enough.
fn is_leaving<'a>(values: impl Iterator<Item = &'a str>) -> bool {
    let mut leaving = false;
    for value in values.map(str::trim) {
        leaving |= value != "0";
        if value != "0" && value != "1" {
            log_unreadable("unreadable server-leaving", value);
        }
    }
    leaving
}

/// Seconds, also with decimals. `None` for another text: the response is then handled like
/// one without the header.
fn parse_wait(text: &str) -> Option<Duration> {
    let seconds = text.trim().parse::<f64>().ok();
    let wait = seconds.filter(|s| s.is_finite() && *s >= 0.0).map(|s| {
        Duration::try_from_secs_f64(s)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT)
    });
    if wait.is_none() {
        log_unreadable("unreadable retry-after", text);
    }
    wait
}

fn log_unreadable(what: &'static str, value: &str) {
    let start: String = value.chars().take(LOGGED_CHARS).collect();
    let fields = json!({ "value": start });
    decision("engine", what, Outcome::Failure, fields);
}
