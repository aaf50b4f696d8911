use std::collections::VecDeque;
use std::time::Duration;

use domain::{EngineSpec, Moment, PieceSpec};

/// Added to a step for each writing request, by the published model.
const PER_WRITER: Duration = Duration::from_nanos(23_200);
/// Added to a step for each thousand tokens of writers' context.
const PER_CONTEXT: Duration = Duration::from_nanos(32_200);

/// The engines of the milestone's sites.
pub fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_capacity: 317_000,
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

/// What happens to a request at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// Its first token is written.
    FirstToken(u64),
    /// Its last token is written.
    Completed(u64),
}

#[derive(Debug, Clone)]
struct Work {
    id: u64,
    prompt: u32,
    unread: u32,
    written: u32,
    output: u32,
}

/// One engine: a batch that reads prompts in pieces between the tokens of the
/// writers, a queue, and memory for a number of tokens.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    queue_limit: usize,
    queue: VecDeque<Work>,
    batch: Vec<Work>,
    /// Writers of the pass that runs, and its end.
    pass: Option<(Vec<u64>, Moment)>,
    /// Takes nothing new, for example because it loads weights.
    pub closed: bool,
    /// Requests that were taken out of memory and are read again.
    pub preempted: u32,
}

impl Engine {
    /// An idle engine that queues up to `queue_limit` requests.
    pub fn new(spec: EngineSpec, queue_limit: usize) -> Self {
        Engine {
            spec,
            queue_limit,
            queue: VecDeque::new(),
            batch: Vec::new(),
            pass: None,
            closed: false,
            preempted: 0,
        }
    }

    /// Takes a request of so many tokens; false when it is full or closed.
    pub fn enqueue(&mut self, id: u64, prompt: u32, output: u32) -> bool {
        if self.closed || self.queue.len() >= self.queue_limit {
            return false;
        }
        self.queue.push_back(Work {
            id,
            prompt,
            unread: prompt,
            written: 0,
            output: output.max(1),
        });
        true
    }

    /// Drops a request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        self.queue.retain(|w| w.id != id);
        self.batch.retain(|w| w.id != id);
    }

    /// Loses everything, as in a crash; returns the requests that were there.
    pub fn crash(&mut self) -> Vec<u64> {
        self.pass = None;
        let lost = self.batch.drain(..).chain(self.queue.drain(..));
        lost.map(|w| w.id).collect()
    }

    /// Whether nothing is there.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.queue.is_empty()
    }

    /// Whether a pass runs.
    pub fn is_pass_running(&self) -> bool {
        self.pass.is_some()
    }

    /// Begins a pass at `now`; its end, or none when there is nothing to do.
    pub fn start_pass(&mut self, now: Moment) -> Option<Moment> {
        self.admit();
        if self.batch.is_empty() {
            self.pass = None;
            return None;
        }
        let writers = self.batch.iter().filter(|w| w.unread == 0);
        let (mut ids, mut context) = (Vec::new(), 0);
        for writer in writers {
            ids.push(writer.id);
            context += writer.prompt + writer.written;
        }
        let mut budget = self.spec.prefill_chunk;
        let mut read = 0;
        for reader in self.batch.iter_mut().filter(|w| w.unread > 0) {
            let piece = reader.unread.min(budget);
            reader.unread -= piece;
            budget -= piece;
            read += piece;
        }
        let mut time = Duration::from_secs_f64(f64::from(read) / self.spec.prefill_rate);
        if !ids.is_empty() {
            let count = u32::try_from(ids.len()).unwrap_or(u32::MAX);
            let step = self.spec.step_time
                + PER_WRITER * count
                + PER_CONTEXT.mul_f64(f64::from(context) / 1000.0);
            time += step * self.spec.stride;
        }
        let end = now + time;
        self.pass = Some((ids, end));
        Some(end)
    }

    /// Ends the pass that runs.
    pub fn finish_pass(&mut self) -> Vec<EngineEvent> {
        let Some((writers, _)) = self.pass.take() else {
            return Vec::new();
        };
        let mut events = Vec::new();
        for work in &mut self.batch {
            if writers.contains(&work.id) {
                work.written += self.spec.stride;
            } else if work.unread == 0 && work.written == 0 {
                work.written = 1;
                events.push(EngineEvent::FirstToken(work.id));
            }
            if work.written >= work.output {
                events.push(EngineEvent::Completed(work.id));
            }
        }
        self.batch.retain(|w| w.written < w.output);
        events
    }

    fn admit(&mut self) {
        while let Some(next) = self.queue.front() {
            let full = self.batch.len() >= usize::try_from(self.spec.slots).unwrap_or(usize::MAX);
            if full || self.used() + next.prompt > self.spec.kv_capacity {
                break;
            }
            self.batch.extend(self.queue.pop_front());
        }
        // The newest gives way when the others' answers need its memory.
        while self.used() > self.spec.kv_capacity && self.batch.len() > 1 {
            if let Some(mut newest) = self.batch.pop() {
                newest.unread = newest.prompt + newest.written;
                self.preempted += 1;
                self.queue.push_front(newest);
            }
        }
    }

    fn used(&self) -> u32 {
        self.batch.iter().map(|w| w.prompt + w.written).sum()
    }
}
