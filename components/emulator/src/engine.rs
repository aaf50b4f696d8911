use std::collections::VecDeque;
use std::time::Duration;

use dispatch::PromptPrefix;
use domain::{EngineSpec, Moment, Pace, PieceSpec};

use crate::retained_prompts::RetainedPrompts;

/// Time that each decoding request adds to a step, from the published cost model.
const STEP_PER_REQUEST: Duration = Duration::from_nanos(23_200);
/// Time that each thousand tokens of context of decoding requests add to a step.
const STEP_PER_1000_TOKENS: Duration = Duration::from_nanos(32_200);

/// Cost model of the emulated engines: that of the users' sites.
pub fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_capacity: 317_000,
        prompt_cache: 0,
        step_time: Duration::from_micros(9270),
        prefill_rate: 20_700.0,
        stride: 5,
        prefill_chunk: 2048,
        mean_tokens: (979, 92),
        models: vec!["m".into()],
        pieces: PieceSpec {
            count: 64,
            bytes: 32_768,
            layers: 16,
        },
    }
}

/// Progress of a request at an engine, by its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// Its first token was generated.
    FirstToken(u64),
    /// Its last token was generated.
    Completed(u64),
}

/// A request in the queue or the batch; sizes in tokens.
#[derive(Debug, Clone)]
struct Sequence {
    id: u64,
    prompt: u32,
    prefix: PromptPrefix,
    /// Tokens still to be prefilled.
    prefill_left: u32,
    /// Output tokens generated so far.
    generated: u32,
    output: u32,
}

/// An engine with continuous batching: prompts are prefilled in chunks between the
/// decode steps of other requests. The batch is limited by the slots and by the tokens
/// that fit in the KV cache; further requests wait in a queue.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    queue_limit: usize,
    queue: VecDeque<Sequence>,
    batch: Vec<Sequence>,
    /// Ids of the decoding requests of the running pass, and its end.
    pass: Option<(Vec<u64>, Moment)>,
    retained: RetainedPrompts,
    /// Whether it refuses new requests, for example because it loads weights.
    pub closed: bool,
    /// Pace at which it works.
    pub pace: Pace,
    /// Number of times that a request was removed from the KV cache, to be prefilled
    /// again.
    pub preempted: u32,
    /// Prompt tokens of admitted requests, and those that were retained from earlier ones.
    pub prompt_tokens: (u64, u64),
}

impl Engine {
    /// An idle engine with at most `queue_limit` requests in its queue.
    pub fn new(spec: EngineSpec, queue_limit: usize) -> Self {
        Engine {
            spec,
            queue_limit,
            queue: VecDeque::new(),
            batch: Vec::new(),
            pass: None,
            retained: RetainedPrompts::default(),
            closed: false,
            pace: Pace::USUAL,
            preempted: 0,
            prompt_tokens: (0, 0),
        }
    }

    /// Queues a request of these numbers of tokens; returns false when the queue is full
    /// or the engine is closed.
    pub fn enqueue(&mut self, id: u64, prompt: u32, output: u32) -> bool {
        self.enqueue_prompt(id, prompt, output, PromptPrefix::default())
    }

    /// The same for a prompt with parts that the engine may retain.
    pub fn enqueue_prompt(
        &mut self,
        id: u64,
        prompt: u32,
        output: u32,
        prefix: PromptPrefix,
    ) -> bool {
        if self.closed || self.queue.len() >= self.queue_limit {
            return false;
        }
        self.queue.push_back(Sequence {
            id,
            prompt,
            prefix,
            prefill_left: prompt,
            generated: 0,
            output: output.max(1),
        });
        true
    }

    /// Removes a request whose caller has given up.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|s| s.id != id);
        self.batch.retain(|s| s.id != id);
    }

    /// Loses all requests, as in a crash; returns their ids.
    pub fn crash(&mut self) -> Vec<u64> {
        self.pass = None;
        self.forget_prompts();
        let lost = self.batch.drain(..).chain(self.queue.drain(..));
        lost.map(|s| s.id).collect()
    }

    /// Loses the retained prompts, as when other weights are loaded.
    pub fn forget_prompts(&mut self) {
        self.retained = RetainedPrompts::default();
    }

    /// Whether it has no requests.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.queue.is_empty()
    }

    /// Whether a pass is running.
    pub fn is_pass_running(&self) -> bool {
        self.pass.is_some()
    }

    /// Starts a pass at `now`: one chunk of prefill and `stride` decode steps. Returns the
    /// end of the pass, or `None` when there are no requests.
    pub fn start_pass(&mut self, now: Moment) -> Option<Moment> {
        self.admit();
        if self.batch.is_empty() {
            self.pass = None;
            return None;
        }
        let decoding = self.batch.iter().filter(|s| s.prefill_left == 0);
        let (mut ids, mut context) = (Vec::new(), 0);
        for sequence in decoding {
            ids.push(sequence.id);
            context += sequence.prompt + sequence.generated;
        }
        let mut budget = self.spec.prefill_chunk;
        let mut prefilled = 0;
        for sequence in self.batch.iter_mut().filter(|s| s.prefill_left > 0) {
            let chunk = sequence.prefill_left.min(budget);
            sequence.prefill_left -= chunk;
            budget -= chunk;
            prefilled += chunk;
        }
        let mut time = Duration::from_secs_f64(f64::from(prefilled) / self.spec.prefill_rate);
        if !ids.is_empty() {
            let count = u32::try_from(ids.len()).unwrap_or(u32::MAX);
            let step = self.spec.step_time
                + STEP_PER_REQUEST * count
                + STEP_PER_1000_TOKENS.mul_f64(f64::from(context) / 1000.0);
            time += step * self.spec.stride;
        }
        let end = now + time.mul_f64(self.pace.factor());
        self.pass = Some((ids, end));
        Some(end)
    }

    /// Ends the running pass; returns the progress of requests during it.
    pub fn finish_pass(&mut self) -> Vec<EngineEvent> {
        let Some((decoding, _)) = self.pass.take() else {
            return Vec::new();
        };
        let mut events = Vec::new();
        for sequence in &mut self.batch {
            if decoding.contains(&sequence.id) {
                sequence.generated += self.spec.stride;
            } else if sequence.prefill_left == 0 && sequence.generated == 0 {
                sequence.generated = 1;
                self.retained.insert(&sequence.prefix);
                events.push(EngineEvent::FirstToken(sequence.id));
            }
            if sequence.generated >= sequence.output {
                events.push(EngineEvent::Completed(sequence.id));
            }
        }
        self.batch.retain(|s| s.generated < s.output);
        // Running requests need their memory first.
        let free = self.spec.kv_capacity.saturating_sub(self.used_tokens());
        self.retained.evict_to(self.spec.prompt_cache.min(free));
        events
    }

    /// Moves requests from the queue to the batch while they fit.
    fn admit(&mut self) {
        while let Some(next) = self.queue.front() {
            let full = self.batch.len() >= usize::try_from(self.spec.slots).unwrap_or(usize::MAX);
            if full || self.used_tokens() + next.prompt > self.spec.kv_capacity {
                break;
            }
            if let Some(mut sequence) = self.queue.pop_front() {
                let held = self.retained.use_prefix(&sequence.prefix);
                // The last token is always processed, as the first output follows from it.
                let held = held.min(sequence.prefill_left.saturating_sub(1));
                self.prompt_tokens.0 += u64::from(sequence.prefill_left);
                self.prompt_tokens.1 += u64::from(held);
                sequence.prefill_left -= held;
                self.batch.push(sequence);
            }
        }
        // When the outputs outgrow the KV cache, the newest request is preempted.
        while self.used_tokens() > self.spec.kv_capacity && self.batch.len() > 1 {
            if let Some(mut newest) = self.batch.pop() {
                newest.prefill_left = newest.prompt + newest.generated;
                self.preempted += 1;
                self.queue.push_front(newest);
            }
        }
    }

    fn used_tokens(&self) -> u32 {
        self.batch.iter().map(|s| s.prompt + s.generated).sum()
    }
}
