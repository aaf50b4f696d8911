use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use protocol::{Answer, Refusal, RunId, TICKET_TTL, Ticket};

/// How long after its ticket's expiry an answer is kept.
const KEEP: Duration = Duration::from_secs(600);
/// Most bytes of answers kept; the oldest answers are forgotten first.
const KEPT_BYTES: usize = 32 << 20;

/// Whether a run may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// It counts as running from now on.
    Run,
    /// It does not start and never will.
    Refuse(Refusal),
    /// The same run has started before; ask with `settle`.
    Duplicate,
}

/// What became of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// It has not started and never will.
    Voided,
    /// It is running.
    Running,
    /// It ran; this is its answer.
    Answered(Arc<Answer>),
    /// It may have run.
    Unknown,
}

#[derive(Debug, Clone)]
enum State {
    Running,
    Voided,
    Answered(Arc<Answer>),
    Lost,
}

/// Runs each id at most once, across late, repeated and crossed messages.
///
/// An id is remembered until no message with its ticket can be admitted and
/// for a while longer, so an unknown id with a ticket young enough has
/// certainly not run.
#[derive(Debug)]
pub struct RunTable {
    incarnation: u64,
    runs: HashMap<RunId, State>,
    expiries: VecDeque<(Duration, RunId)>,
    bytes: usize,
}

impl RunTable {
    /// A table for one incarnation of an agent.
    pub fn new(incarnation: u64) -> Self {
        RunTable {
            incarnation,
            runs: HashMap::new(),
            expiries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Issues a ticket at `now`.
    pub fn issue_ticket(&self, now: Duration) -> Ticket {
        Ticket {
            incarnation: self.incarnation,
            issued_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Ids remembered.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// True when no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Asks to start a run.
    pub fn begin(&mut self, now: Duration, id: &RunId, ticket: Ticket) -> Begin {
        self.expire(now);
        if ticket.incarnation != self.incarnation {
            return Begin::Refuse(Refusal::Restarted);
        }
        match self.runs.get(id) {
            Some(State::Voided) => return Begin::Refuse(Refusal::Voided),
            Some(_) => return Begin::Duplicate,
            None => {}
        }
        if now > ticket.expiry() {
            return Begin::Refuse(Refusal::Expired);
        }
        self.insert(now, id, State::Running);
        Begin::Run
    }

    /// Takes back a run that did not start after all.
    pub fn void(&mut self, id: &RunId) {
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Voided;
        }
    }

    /// Records the answer of a run.
    pub fn record_answer(&mut self, id: &RunId, answer: Arc<Answer>) {
        let size = answer.body.len();
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Answered(answer);
            self.bytes += size;
        }
        self.shed_answers();
    }

    /// Records that a run ended without a complete answer.
    pub fn record_lost(&mut self, id: &RunId) {
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Lost;
        }
    }

    /// Tells what became of a run; voids it when it has not started.
    pub fn settle(&mut self, now: Duration, id: &RunId, ticket: Ticket) -> Settled {
        self.expire(now);
        if ticket.incarnation != self.incarnation {
            return Settled::Unknown;
        }
        match self.runs.get(id) {
            Some(State::Running) => Settled::Running,
            Some(State::Voided) => Settled::Voided,
            Some(State::Answered(a)) => Settled::Answered(a.clone()),
            Some(State::Lost) => Settled::Unknown,
            // Older than the memory of runs: it may have run and been forgotten.
            None if now > ticket.expiry() + KEEP => Settled::Unknown,
            None => {
                self.insert(now, id, State::Voided);
                Settled::Voided
            }
        }
    }

    fn insert(&mut self, now: Duration, id: &RunId, state: State) {
        // Counted from now, not from the ticket, so the queue stays in order.
        let expiry = now + TICKET_TTL + KEEP;
        self.runs.insert(id.clone(), state);
        self.expiries.push_back((expiry, id.clone()));
    }

    fn expire(&mut self, now: Duration) {
        while let Some((expiry, id)) = self.expiries.front() {
            if *expiry > now {
                break;
            }
            if matches!(self.runs.get(id), Some(State::Running)) {
                // A run outlives its ticket; remember it until it has ended.
                let id = id.clone();
                self.expiries.pop_front();
                self.expiries.push_back((now + TICKET_TTL + KEEP, id));
                continue;
            }
            if let Some(State::Answered(a)) = self.runs.remove(id) {
                self.bytes -= a.body.len();
            }
            self.expiries.pop_front();
        }
    }

    fn shed_answers(&mut self) {
        if self.bytes <= KEPT_BYTES {
            return;
        }
        for (_, id) in &self.expiries {
            if let Some(state @ State::Answered(_)) = self.runs.get_mut(id)
                && let State::Answered(a) = std::mem::replace(state, State::Lost)
            {
                self.bytes -= a.body.len();
            }
            if self.bytes <= KEPT_BYTES {
                return;
            }
        }
    }
}
