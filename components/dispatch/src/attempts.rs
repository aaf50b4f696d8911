use domain::UpstreamId;

/// Most attempts to send one request, including those that upstreams refuse.
const MAX_SENT: usize = 4;

/// Why an attempt did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of it reached the upstream.
    Unsent,
    /// The same, because the upstream accepts no requests for now. It may later.
    Closed,
    /// The upstream refused it.
    Refused,
}

/// Attempts at one request, several of which may run at the same time.
#[derive(Debug, Clone)]
pub struct Attempts {
    max_runs: u32,
    /// Attempts in flight, and those that may have run.
    runs: u32,
    /// Attempts that reached an upstream, since the last progress.
    sent: usize,
    /// All attempts since the last progress.
    started: usize,
    tried: Vec<UpstreamId>,
    refused: Vec<UpstreamId>,
}

impl Attempts {
    /// No attempts yet, of which at most `max_runs` may run.
    pub fn new(max_runs: u32) -> Self {
        Attempts {
            max_runs,
            runs: 0,
            sent: 0,
            started: 0,
            tried: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Whether another attempt may start.
    pub fn allows_another(&self) -> bool {
        self.runs < self.max_runs && self.sent < MAX_SENT && self.started <= 2 * MAX_SENT
    }

    /// Whether another attempt would be a retry.
    pub fn is_retry(&self) -> bool {
        self.runs > 0 || self.sent > 0
    }

    /// Whether the request may be running or may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Records an attempt at `upstream`.
    pub fn start(&mut self, upstream: UpstreamId) {
        self.runs += 1;
        self.sent += 1;
        self.started += 1;
        self.tried.push(upstream);
    }

    /// Records that the attempt at `upstream` did not run.
    pub fn did_not_run(&mut self, upstream: &UpstreamId, end: AttemptEnd) {
        self.runs = self.runs.saturating_sub(1);
        if end != AttemptEnd::Refused {
            self.sent = self.sent.saturating_sub(1);
        }
        let Some(index) = self.tried.iter().rposition(|u| u == upstream) else {
            return;
        };
        let upstream = self.tried.remove(index);
        if end != AttemptEnd::Closed {
            self.refused.push(upstream);
        }
    }

    /// Records that the response went on: the attempts until its end are counted anew.
    pub fn record_progress(&mut self) {
        self.sent = 0;
        self.started = 0;
    }

    /// Allows another attempt at the upstreams that did not run the request.
    pub fn forget_refusals(&mut self) {
        self.refused.clear();
    }

    /// Upstreams that get no other attempt.
    pub fn excluded(&self) -> Vec<UpstreamId> {
        [self.tried.as_slice(), &self.refused].concat()
    }
}
