//! The engines and requests of the trials under overload.

use std::path::PathBuf;
use std::time::Duration;

use crate::engine::GenerateRequest;
use crate::trial::caller::{Payload, Request};
use crate::trial::fleet::FleetSpec;

/// Requests that a warm engine bears.
const SLOTS: u32 = 16;
/// Time to the first token.
const PREFILL: Duration = Duration::from_millis(160);
/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(8);
/// Tokens of a request.
const TOKENS: u32 = 32;
/// Deadline of a request.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Two entries before a number of engines.
pub fn spec(engines: usize) -> FleetSpec {
    let slots = SLOTS.to_string();
    let prefill = PREFILL.as_millis().to_string();
    let token = TOKEN.as_micros().to_string();
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
            &prefill,
            "--token-us",
            &token,
        ]
        .map(str::to_owned)
        .to_vec(),
        plain_args: Vec::new(),
    }
}

/// Requests a second that a number of warm engines bears.
pub fn capacity(engines: usize) -> f64 {
    let service = PREFILL + TOKEN * TOKENS;
    f64::from(SLOTS) * engines as f64 / service.as_secs_f64()
}

/// A request through an entry, or `direct` to an engine.
pub fn request(direct: bool, account: &str, prompt: u32) -> Request {
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
            // Different prefixes, so that no cache hides the load.
            prompt: format!("{prompt} brief of a customer"),
            max_tokens: TOKENS,
            stream: false,
        }),
    }
}
