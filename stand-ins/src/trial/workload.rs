//! Engines and requests of the trials near and above capacity.

use std::path::PathBuf;
use std::time::Duration;

use crate::engine::GenerateRequest;
use crate::trial::caller::{Payload, Request};
use crate::trial::fleet::FleetSpec;

/// Requests that a warm engine runs at the full rate.
const ENGINE_SLOTS: u32 = 16;
/// Time to the first token of a request.
const PREFILL_TIME: Duration = Duration::from_millis(160);
/// Time between two tokens of a request.
const TOKEN_TIME: Duration = Duration::from_millis(8);
/// Output tokens of a request.
const OUTPUT_TOKENS: u32 = 32;
/// Time from the start of a request to its deadline.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// A fleet of two entries and a number of engines.
pub fn spec(engines: usize) -> FleetSpec {
    let slots = ENGINE_SLOTS.to_string();
    let prefill_ms = PREFILL_TIME.as_millis().to_string();
    let token_us = TOKEN_TIME.as_micros().to_string();
    FleetSpec {
        config_file: PathBuf::from("examples/lippula.json"),
        entries: 2,
        upstreams: vec![("neula-llm".to_owned(), engines)],
        model_size: 2 << 20,
        chunk_size: 256 << 10,
        origin_rate: 32 << 20,
        engine_args: [
            "--slots",
            &slots,
            "--prefill-ms",
            &prefill_ms,
            "--token-us",
            &token_us,
        ]
        .map(str::to_owned)
        .to_vec(),
        plain_args: Vec::new(),
    }
}

/// Requests a second that a number of warm engines can complete.
pub fn capacity(engines: usize) -> f64 {
    let service_time = PREFILL_TIME + TOKEN_TIME * OUTPUT_TOKENS;
    f64::from(ENGINE_SLOTS) * engines as f64 / service_time.as_secs_f64()
}

/// A request through an entry, or `direct` to an engine.
pub fn request(direct: bool, account: &str, prompt_id: u32) -> Request {
    let path = match direct {
        false => "/neula-llm/summarise",
        true => "/summarise",
    };
    Request {
        path: path.to_owned(),
        account: account.to_owned(),
        deadline: DEADLINE,
        headers: Vec::new(),
        payload: Payload::Generate(GenerateRequest {
            // Requests start with different ids, so that the prefix caches of the engines
            // do not reduce the load.
            prompt: format!("{prompt_id} brief of a customer"),
            max_tokens: OUTPUT_TOKENS,
            stream: false,
        }),
    }
}
