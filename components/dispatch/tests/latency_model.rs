//! Expected time to the first token.

mod fixture;

use dispatch::LatencyModel;
use fixture::{engine, ms};

#[test]
fn an_idle_engine_begins_within_two_passes() {
    let times = LatencyModel::new(Some(engine()));

    let start = times.first_token(0, 900);

    // 900 tokens take 43 ms, a pass 46 ms.
    assert!(start > ms(60) && start < ms(180), "{start:?}");
}

#[test]
fn unread_prompts_go_first() {
    let times = LatencyModel::new(Some(engine()));

    let waits = times.first_token(8 * 900, 900) - times.first_token(0, 900);

    // 7,200 tokens at 20.7 a millisecond.
    assert!(waits >= ms(347), "{waits:?}");
}
