use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use protocol::{Refusal, RunId, TICKET_TTL, Ticket, UpstreamResponse};

/// Time that an id and its response are kept after the lifetime of a ticket.
const RETENTION: Duration = Duration::from_secs(600);
/// Most bytes of responses kept; the oldest responses are evicted first.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Whether a run may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// It may, and counts as running from now on.
    Run,
    /// It does not start and never will.
    Refuse(Refusal),
    /// It was received before; `settle` returns its outcome.
    Duplicate,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// It has not started and never will.
    Voided,
    /// It is running.
    Running,
    /// It ran and returned this response.
    Answered(Arc<UpstreamResponse>),
    /// It may have run; its response is not available.
    Unknown,
}

#[derive(Debug, Clone)]
enum State {
    Running,
    Voided,
    Answered(Arc<UpstreamResponse>),
    Lost,
}

/// Ensures that each run starts at most once, also with late, repeated and reordered
/// messages.
///
/// An id is kept until its ticket has expired and for the retention time after that.
/// Thus a run whose id is absent, and whose ticket is not older, has not started.
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

    /// Number of ids kept.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// True when no id is kept.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Decides whether a run may start, and records it if so.
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

    /// Voids a run that was allowed to start but did not.
    pub fn void(&mut self, id: &RunId) {
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Voided;
        }
    }

    /// Records the response of a run.
    pub fn record_response(&mut self, id: &RunId, response: Arc<UpstreamResponse>) {
        let size = response.body.len();
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Answered(response);
            self.bytes += size;
        }
        self.evict_responses();
    }

    /// Records that a run ended without a complete response.
    pub fn record_lost(&mut self, id: &RunId) {
        if let Some(state) = self.runs.get_mut(id) {
            *state = State::Lost;
        }
    }

    /// Records that a run has ended: one whose response was not recorded may have run.
    pub fn end(&mut self, id: &RunId) {
        if let Some(state @ State::Running) = self.runs.get_mut(id) {
            *state = State::Lost;
        }
    }

    /// Returns the outcome of a run, and voids it if it has not started.
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
            // Older than the retention: it may have run and been removed since.
            None if now > ticket.expiry() + RETENTION => Settled::Unknown,
            None => {
                self.insert(now, id, State::Voided);
                Settled::Voided
            }
        }
    }

    fn insert(&mut self, now: Duration, id: &RunId, state: State) {
        // Counted from now and not from the ticket, so that `expiries` stays sorted.
        let expiry = now + TICKET_TTL + RETENTION;
        self.runs.insert(id.clone(), state);
        self.expiries.push_back((expiry, id.clone()));
    }

    fn expire(&mut self, now: Duration) {
        while let Some((expiry, id)) = self.expiries.front() {
            if *expiry > now {
                break;
            }
            if matches!(self.runs.get(id), Some(State::Running)) {
                // A run may outlive its ticket; its id is kept until it has ended.
                let id = id.clone();
                self.expiries.pop_front();
                self.expiries.push_back((now + TICKET_TTL + RETENTION, id));
                continue;
            }
            if let Some(State::Answered(a)) = self.runs.remove(id) {
                self.bytes -= a.body.len();
            }
            self.expiries.pop_front();
        }
    }

    fn evict_responses(&mut self) {
        if self.bytes <= MAX_RESPONSE_BYTES {
            return;
        }
        for (_, id) in &self.expiries {
            if let Some(state @ State::Answered(_)) = self.runs.get_mut(id)
                && let State::Answered(a) = std::mem::replace(state, State::Lost)
            {
                self.bytes -= a.body.len();
            }
            if self.bytes <= MAX_RESPONSE_BYTES {
                return;
            }
        }
    }
}
