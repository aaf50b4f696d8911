use std::time::Duration;

use domain::EngineSpec;

/// Way to an upstream and back, and the work of the entry.
const WAY: Duration = Duration::from_millis(15);
/// Kept for what an entry cannot know: how long the pass under way is, and what
/// other entries have sent since their last word. Without it every fourth answer
/// at twice the capacity misses its objective by less than this (emulator).
const SAFETY: Duration = Duration::from_millis(80);
/// Part of what a request has to spare that goes into this at most.
const SAFETY_SHARE: u32 = 4;
/// First answer of a plain service, which has no cost model.
const PLAIN_START: Duration = Duration::from_millis(70);

/// Expected time to the first token of a request at an engine.
///
/// Answers the moment after many places have become free at once: an engine
/// reads prompts one after the other, so the last of sixteen that arrive
/// together begins late although every one found a free place.
#[derive(Debug, Clone, PartialEq)]
pub struct StartTime {
    engine: Option<EngineSpec>,
}

impl StartTime {
    /// The times of a service; `engine` is the cost model of model engines.
    pub fn new(engine: Option<EngineSpec>) -> Self {
        StartTime { engine }
    }

    /// Time to the first token of a prompt of `prompt` tokens, behind `unread`
    /// tokens of other prompts.
    pub fn expect(&self, unread: u64, prompt: u32) -> Duration {
        let Some(engine) = &self.engine else {
            return PLAIN_START;
        };
        let pass = engine.step_time * engine.stride;
        let tokens = unread.saturating_add(u64::from(prompt));
        let chunks = tokens.div_ceil(u64::from(engine.prefill_chunk.max(1)));
        let chunks = u32::try_from(chunks).unwrap_or(u32::MAX);
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let reading = Duration::from_secs_f64(tokens / engine.prefill_rate);
        // Half a pass until the engine looks at its queue, then one pass of the
        // writers after each piece that is read.
        WAY + pass / 2 + reading + pass * chunks.min(MAX_CHUNKS)
    }

    /// What a promise to a request with this objective leaves beyond the expected
    /// time: whoever is late has taken a place from somebody who would have been on
    /// time. Large prompts have little to spare and would hardly be served.
    pub fn safety(&self, prompt: u32, objective: Duration) -> Duration {
        if self.engine.is_none() {
            return Duration::ZERO;
        }
        let spare = objective.saturating_sub(self.expect(0, prompt));
        SAFETY.min(spare / SAFETY_SHARE)
    }

    /// Time in which an answer of `output` tokens is written with a full batch;
    /// without an idea of the length, of the usual ones.
    pub fn writing(&self, output: Option<u32>) -> Duration {
        match &self.engine {
            Some(engine) => {
                engine.step_time.mul_f64(BATCH_FACTOR) * output.unwrap_or(engine.mean_tokens.1)
            }
            None => Duration::ZERO,
        }
    }
}

/// Time of a step with a full batch and others' prompts read in between,
/// against a lone one.
const BATCH_FACTOR: f64 = 1.4;
/// Pieces of prompts for which passes are counted; more than any objective holds.
const MAX_CHUNKS: u32 = 1000;
