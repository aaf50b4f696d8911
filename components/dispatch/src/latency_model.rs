use std::time::Duration;

use domain::EngineSpec;

/// Round trip to an upstream and processing time of the entry.
const ROUND_TRIP: Duration = Duration::from_millis(15);
/// Margin for what an entry cannot observe: the length of the current pass, and what
/// other entries have sent since their last notice. Without it, every fourth response
/// at twice the capacity misses its target latency by less than this in the emulator.
const MARGIN: Duration = Duration::from_millis(80);
/// Largest fraction of a request's spare time that the margin takes, as a divisor.
const MARGIN_DIVISOR: u32 = 4;
/// Expected time to the first event of a plain service, which has no cost model.
const PLAIN_LATENCY: Duration = Duration::from_millis(70);

/// Expected time to first token and generation time of a request at an engine.
///
/// An engine prefills prompts one after the other. When many slots become free at
/// once, the last of sixteen requests that arrive together starts late although each
/// of them has a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyModel {
    engine: Option<EngineSpec>,
    /// Duration of a pass of decode steps.
    pass: Duration,
    /// Prefill time of a token in nanoseconds.
    prefill_nanos: u64,
}

impl LatencyModel {
    /// The model of a service; `engine` is the cost model of its engines, `None` for
    /// plain services.
    pub fn new(engine: Option<EngineSpec>) -> Self {
        let pass = engine.as_ref().map(|e| e.step_time * e.stride);
        let prefill = engine.as_ref().map(|e| {
            Duration::from_secs_f64(e.prefill_rate.max(f64::MIN_POSITIVE).recip().min(1.0))
        });
        let prefill_nanos = prefill.unwrap_or_default().as_nanos();
        LatencyModel {
            engine,
            pass: pass.unwrap_or_default(),
            prefill_nanos: u64::try_from(prefill_nanos).unwrap_or(u64::MAX),
        }
    }

    /// Prompt tokens that an engine retains after their requests; 0 if none.
    pub fn prompt_cache(&self) -> u32 {
        self.engine.as_ref().map_or(0, |e| e.prompt_cache)
    }

    /// Expected time to first token of a prompt of `prompt` tokens, behind `backlog`
    /// tokens of other prompts, at an engine of the usual pace.
    pub fn first_token(&self, backlog: u64, prompt: u32) -> Duration {
        self.first_token_at(1.0, backlog, prompt)
    }

    /// The same at an engine whose work takes `slowdown` times the usual time.
    pub fn first_token_at(&self, slowdown: f64, backlog: u64, prompt: u32) -> Duration {
        ROUND_TRIP + self.work(backlog, prompt).mul_f64(slowdown)
    }

    /// Time from the arrival of a prompt at an engine of the usual pace to its first token.
    fn work(&self, backlog: u64, prompt: u32) -> Duration {
        let Some(engine) = &self.engine else {
            return PLAIN_LATENCY - ROUND_TRIP;
        };
        let tokens = backlog.saturating_add(u64::from(prompt));
        let chunks = tokens.div_ceil(u64::from(engine.prefill_chunk.max(1)));
        let chunks = u32::try_from(chunks).unwrap_or(u32::MAX);
        let prefill = Duration::from_nanos(tokens.saturating_mul(self.prefill_nanos));
        // On average half a pass until the engine takes the request from its queue,
        // then one pass of decode steps after each prefill chunk.
        self.pass / 2 + prefill + self.pass * chunks.min(MAX_CHUNKS)
    }

    /// Time to spare that a request with this target latency must have beyond its expected
    /// time to first token: a response that is late after all has taken a slot from
    /// one that would have been on time. The margin is smaller where little time is
    /// to spare, because large prompts would otherwise rarely be served.
    pub fn margin(&self, prompt: u32, target_latency: Duration) -> Duration {
        if self.engine.is_none() {
            return Duration::ZERO;
        }
        let spare = target_latency.saturating_sub(self.first_token(0, prompt));
        MARGIN.min(spare / MARGIN_DIVISOR)
    }

    /// Time to generate `output` tokens in a full batch, or the typical number of
    /// tokens where `output` is `None`, at an engine whose work takes `slowdown` times the
    /// usual time.
    pub fn generation(&self, slowdown: f64, output: Option<u32>) -> Duration {
        match &self.engine {
            Some(engine) => {
                let step = engine.step_time.mul_f64(BATCH_FACTOR * slowdown);
                step * output.unwrap_or(engine.mean_tokens.1)
            }
            None => Duration::ZERO,
        }
    }
}

/// Decode step time in a full batch, with prefill of other prompts in between,
/// relative to that of a single request.
const BATCH_FACTOR: f64 = 1.4;
/// Most prefill chunks that are counted: more than fit in any target latency.
const MAX_CHUNKS: u32 = 1000;
