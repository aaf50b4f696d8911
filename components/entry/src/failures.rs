use wire::{Outcome, Problem};

/// Most attempts at one request.
const MAX_ATTEMPTS: usize = 4;
/// Most attempts at one request that may have run.
const MAX_MAY_HAVE_RUN: usize = 2;

/// Attempts at a request that have failed so far.
#[derive(Debug, Default)]
pub struct Failures {
    /// Keys of the upstreams to which the request is not sent again.
    pub tried: Vec<u64>,
    /// The problem to report if no further attempt is made.
    pub problem: Option<Problem>,
    /// Number of attempts.
    pub attempts: usize,
    /// Number of attempts that may have run.
    may_have_run: usize,
}

impl Failures {
    /// Records the failure of an attempt at the upstream with `key`, or a further problem of an
    /// earlier attempt.
    pub fn record(&mut self, key: Option<u64>, problem: Problem) {
        self.attempts += usize::from(key.is_some());
        self.tried.extend(key);
        self.may_have_run += usize::from(key.is_some() && problem.outcome != Outcome::NotRun);
        self.problem = Some(match self.problem.take() {
            None => problem,
            Some(earlier) => earlier.followed_by(problem),
        });
    }

    /// Whether no further attempt may be made.
    pub fn are_final(&self) -> bool {
        self.may_have_run >= MAX_MAY_HAVE_RUN || self.attempts >= MAX_ATTEMPTS
    }
}
