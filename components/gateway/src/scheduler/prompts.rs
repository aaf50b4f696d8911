use std::time::Duration;

use dispatch::PrefixGuess;
use domain::Platform;
use serde_json::json;
use telemetry::{Outcome, decision};

use super::Scheduler;
use crate::lease::Lease;

/// What upstreams hold of prompts.
impl<P: Platform> Scheduler<P> {
    /// Records that the first event of a request arrived `waited` after its slot was
    /// reserved: its upstream has processed the prompt.
    pub fn record_prompt(&self, lease: &Lease<P>, guess: &PrefixGuess, waited: Duration) {
        let right = {
            let mut state = self.lock();
            let Some(service) = state.services.get_mut(&lease.service) else {
                return;
            };
            let pool = &mut service.scheduler.upstreams;
            let upstream = pool.get_mut(&lease.target.id);
            if upstream.is_none_or(|u| u.upstream.started_ms != lease.started_ms) {
                return;
            }
            pool.record_prompt(&lease.target.id, guess, waited)
        };
        let outcome = match right {
            Some(true) => "right",
            Some(false) => "wrong",
            None => "unknown",
        };
        metrics::counter!("turmerichold_prompt_guesses_total", "outcome" => outcome).increment(1);
        if right == Some(false) {
            let fields = json!({
                "upstream": lease.target.id,
                "saved_tokens": guess.saved_tokens,
                "waited_ms": waited.as_millis(),
                "expected_ms": guess.first_token.saturating_sub(guess.saving).as_millis(),
            });
            decision("desk", "prompt not held", Outcome::Change, fields);
        }
    }
}

/// Counts the tokens that an upstream is expected not to prefill.
pub(super) fn count_saved(guess: &PrefixGuess) {
    let tokens = u64::from(guess.saved_tokens);
    metrics::counter!("turmerichold_prompt_tokens_saved_total").increment(tokens);
}
