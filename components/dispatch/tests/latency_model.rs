//! Expected time to the first token.

mod fixture;

use dispatch::LatencyModel;
use fixture::{engine, ms};

#[test]
fn idle_engine_returns_first_token_within_two_passes() {
    let model = LatencyModel::new(Some(engine()));

    let latency = model.first_token(0, 900);

    // 900 tokens take 43 ms, a pass 46 ms.
    assert!(latency > ms(60) && latency < ms(180), "{latency:?}");
}

#[test]
fn prefill_backlog_delays_first_token() {
    let model = LatencyModel::new(Some(engine()));

    let delay = model.first_token(8 * 900, 900) - model.first_token(0, 900);

    // 7,200 tokens at 20.7 a millisecond.
    assert!(delay >= ms(347), "{delay:?}");
}
