use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use bytes::Bytes;
use dispatch::{EventSplitter, Standing, Verdict};
use domain::{Dialect, Platform, RequestKind, UpstreamId, millis, now};
use feed::Feed;
use http::Response;
use serde_json::json;
use telemetry::{Outcome, decision, due, write};
use transport::{Exchange, Pool, spawn, within};

use crate::AnswerBody;
use crate::desk::{Desk, Placed};
use crate::hold::Hold;
use crate::job::Job;
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::send::{Answered, NotRun, Sent, send};
use crate::shortage::Shortage;

/// Longest answer that is collected before it is passed on, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Most upstreams that one request is offered to, refusals included.
const MAX_OFFERS: usize = 4;
/// Advised wait where the queue knows none.
const DEFAULT_BUSY_WAIT: Duration = Duration::from_millis(900);

/// Parts of a stream that may wait for a slow caller.
const PARTS_AHEAD: usize = 8;
/// Added to an upstream's failure rate for a failure of its own.
const OWN_FAILURE_PENALTY: f64 = 0.02;

/// Carries requests to upstreams.
pub struct Dispatcher<P: Platform> {
    pub(crate) platform: P,
    pub(crate) feed: Arc<Feed<P>>,
    pub(crate) desk: Arc<Desk<P>>,
    pub(crate) pool: Pool,
}

enum Step {
    Done(Response<AnswerBody>),
    Again(Refusal),
    Final(Refusal),
}

/// What has become of a request so far.
#[derive(Default)]
struct Course {
    tried: Vec<UpstreamId>,
    runs: u32,
    offers: usize,
    /// It may be running, or has run.
    sent: bool,
    /// What the caller is told if no further attempt succeeds.
    worst: Option<Refusal>,
    /// An upstream's own failure, passed on if no further attempt succeeds.
    failure: Option<Response<AnswerBody>>,
    /// Why no place was found.
    shortage: Option<Shortage>,
}

impl Course {
    /// Records why an attempt did not succeed. One that may have run is never
    /// followed by "not run".
    fn note(&mut self, refusal: Refusal) {
        match self.worst {
            Some(Refusal::Broken | Refusal::TimedOut) => {}
            _ => self.worst = Some(refusal),
        }
    }
}

impl<P: Platform> Dispatcher<P> {
    /// Answers one request.
    pub async fn dispatch(self: &Arc<Self>, job: Job) -> Response<AnswerBody> {
        let job = Arc::new(job);
        let mut course = Course::default();
        let left = job.left(now());
        let answer = within(left, self.attempts(&job, &mut course)).await;
        answer.unwrap_or_else(|| {
            // Whatever was in flight is cancelled by now.
            let refusal = match course.sent {
                true => Refusal::TimedOut,
                false => Refusal::OutOfTime,
            };
            self.refuse(&job, refusal, &course)
        })
    }

    async fn attempts(
        self: &Arc<Self>,
        job: &Arc<Job>,
        course: &mut Course,
    ) -> Response<AnswerBody> {
        self.desk.count(&job.service);
        let refusal = loop {
            if let Some(refusal) = self.stop(job, course) {
                break refusal;
            }
            let hold = match self.desk.place(job, &course.tried).await {
                Placed::At(hold) => hold,
                Placed::Busy(shortage) => {
                    course.shortage = Some(shortage);
                    break Refusal::Busy(shortage.retry_after);
                }
            };
            if course.offers > 0 && !self.desk.may_repeat(&job.service) {
                break Refusal::Busy(DEFAULT_BUSY_WAIT);
            }
            match self.attempt(job, hold, course).await {
                Step::Done(response) => return response,
                Step::Final(refusal) => break refusal,
                Step::Again(refusal) => course.note(refusal),
            }
        };
        course.note(refusal);
        if let Some(failure) = course.failure.take() {
            return failure;
        }
        self.refuse(job, course.worst.unwrap_or(refusal), course)
    }

    /// Why the request must not be sent now, if so.
    fn stop(&self, job: &Job, course: &Course) -> Option<Refusal> {
        if job.ask.api_key.is_some() && self.feed.config_status() == Standing::Expired {
            return Some(Refusal::NotReady);
        }
        if self.desk.verdict(job.fingerprint) == Verdict::Refuse {
            return Some(Refusal::Quarantined);
        }
        let over = course.runs >= job.route.max_attempts || course.offers >= MAX_OFFERS;
        over.then_some(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    /// Sends the request to one upstream.
    async fn attempt(self: &Arc<Self>, job: &Arc<Job>, hold: Hold<P>, course: &mut Course) -> Step {
        course.tried.push(hold.target.id.clone());
        course.offers += 1;
        // Until it is proven otherwise the request may run from here on.
        let before = std::mem::replace(&mut course.sent, true);
        match send(&self.platform, &self.pool, job, &hold, None).await {
            Sent::Answer(answered) => {
                course.runs += 1;
                let success = answered.exchange.head.status.is_success();
                if job.route.kind.is_stream() && success {
                    let tried = std::mem::take(&mut course.tried);
                    return Step::Done(self.stream(job, answered, hold, tried));
                }
                self.collect(job, *answered, hold, course).await
            }
            Sent::NotRun(why) => {
                course.sent = before;
                self.not_run(job, &hold, why, course)
            }
            Sent::Unknown(why) => {
                course.runs += 1;
                self.desk.broke(&hold, job.fingerprint);
                self.unknown(job, &hold, &why)
            }
            Sent::Silent(why) => {
                course.runs += 1;
                self.unknown(job, &hold, &why)
            }
            Sent::TimedOut => {
                self.desk.note(&hold, |s| s.failed(now()));
                Step::Final(Refusal::TimedOut)
            }
        }
    }

    fn not_run(&self, job: &Job, hold: &Hold<P>, why: NotRun, course: &mut Course) -> Step {
        let now = now();
        match why {
            NotRun::Unreachable => {
                self.desk.note(hold, |s| s.failed(now));
                self.desk.refused(hold);
                // Nothing arrived, so it is no repeat.
                course.offers -= 1;
            }
            NotRun::Refused => {
                self.desk.note(hold, |s| s.full(now));
            }
            NotRun::Misdirected => {
                self.desk.note(hold, |s| s.failed(now));
            }
            NotRun::Late => return Step::Final(Refusal::OutOfTime),
        }
        let fields = json!({
            "request": job.ask.attempt,
            "upstream": hold.target.id,
            "why": format!("{why:?}"),
        });
        decision("dispatch", "not run", Outcome::Failure, fields);
        if course.tried.len() > 2 * MAX_OFFERS {
            return Step::Final(Refusal::Busy(DEFAULT_BUSY_WAIT));
        }
        Step::Again(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    fn unknown(&self, job: &Job, hold: &Hold<P>, why: &str) -> Step {
        self.desk.note(hold, |s| s.failed(now()));
        let fields = json!({
            "request": job.ask.attempt,
            "upstream": hold.target.id,
            "age_ms": millis(now().saturating_sub(job.arrived)),
            "why": why,
        });
        decision("dispatch", "outcome unknown", Outcome::Failure, fields);
        match job.route.kind.is_retryable() {
            true => Step::Again(Refusal::Broken),
            false => Step::Final(Refusal::Broken),
        }
    }

    /// Reads an answer whole before it is passed on, so that a cut one can be
    /// told from a complete one.
    async fn collect(
        &self,
        job: &Job,
        answered: Answered,
        hold: Hold<P>,
        course: &mut Course,
    ) -> Step {
        let Answered { exchange, reply } = answered;
        let Exchange { head, mut body } = exchange;
        let bytes = match body.collect(ANSWER_LIMIT).await {
            Ok(bytes) => bytes,
            Err(e) => {
                self.desk.broke(&hold, job.fingerprint);
                return self.unknown(job, &hold, &e.to_string());
            }
        };
        if !reply.closing {
            body.release(&self.pool, reply.keep_alive);
        }
        self.answered(job, &hold, now().saturating_sub(job.arrived));
        let headers = self.platform.dialect().caller_headers(&head);
        let response = assemble(&head, headers, AnswerBody::Whole(Some(bytes)));
        if !head.status.is_server_error() {
            return Step::Done(response);
        }
        self.desk.note(&hold, |s| s.failures += OWN_FAILURE_PENALTY);
        if job.route.kind != RequestKind::Safe {
            return Step::Done(response);
        }
        // Another upstream may do better; if none does, this is the answer.
        course.failure.get_or_insert(response);
        Step::Again(Refusal::Broken)
    }

    fn stream(
        self: &Arc<Self>,
        job: &Arc<Job>,
        answered: Box<Answered>,
        hold: Hold<P>,
        tried: Vec<UpstreamId>,
    ) -> Response<AnswerBody> {
        let head = answered.exchange.head.clone();
        let mut headers = self.platform.dialect().caller_headers(&head);
        headers.remove(http::header::CONTENT_LENGTH);
        let (sender, parts) = bounded::<Result<Bytes, crate::Cut>>(PARTS_AHEAD);
        let relay = Relay {
            dispatcher: self.clone(),
            job: job.clone(),
            answered,
            hold,
            tried,
            events: EventSplitter::default(),
        };
        let body = AnswerBody::Parts {
            parts: Box::pin(parts),
            _relay: spawn(relay.run(sender)),
        };
        assemble(&head, headers, body)
    }

    /// Goes on with a broken stream at another upstream.
    pub async fn resume(
        self: &Arc<Self>,
        job: &Job,
        tried: &mut Vec<UpstreamId>,
        last: Option<&str>,
    ) -> Option<(Box<Answered>, Hold<P>)> {
        let attempts = usize::try_from(job.route.max_attempts).unwrap_or(usize::MAX);
        for _ in 0..MAX_OFFERS {
            if tried.len() >= attempts || self.stop_resume(job) {
                return None;
            }
            let Placed::At(hold) = self.desk.place(job, tried).await else {
                return None;
            };
            if !self.desk.may_repeat(&job.service) {
                return None;
            }
            match send(&self.platform, &self.pool, job, &hold, last).await {
                Sent::Answer(answered) if answered.exchange.head.status.is_success() => {
                    tried.push(hold.target.id.clone());
                    return Some((answered, hold));
                }
                Sent::NotRun(NotRun::Unreachable) => {
                    self.desk.note(&hold, |s| s.failed(now()));
                    self.desk.refused(&hold);
                }
                Sent::NotRun(_) => {
                    self.desk.note(&hold, |s| s.full(now()));
                }
                outcome => {
                    tried.push(hold.target.id.clone());
                    self.desk.note(&hold, |s| s.failed(now()));
                    if let Sent::Unknown(_) = outcome {
                        self.desk.broke(&hold, job.fingerprint);
                    }
                }
            }
        }
        None
    }

    fn stop_resume(&self, job: &Job) -> bool {
        let expired = job.ask.api_key.is_some() && self.feed.config_status() == Standing::Expired;
        expired || self.desk.verdict(job.fingerprint) == Verdict::Refuse
    }

    /// Records an answered request.
    pub fn answered(&self, job: &Job, hold: &Hold<P>, took: Duration) {
        self.desk.note(hold, |s| s.answered());
        self.desk.answered(hold, job.fingerprint);
        metrics::histogram!("turmerichold_request_duration_seconds").record(took.as_secs_f64());
        if let Some(first) = hold.first {
            let first = first.saturating_sub(job.arrived).as_secs_f64();
            metrics::histogram!("turmerichold_first_event_seconds").record(first);
        }
        if let Some(left_out) = due("dispatch", "answered", Outcome::Success) {
            let fields = json!({
                "request": job.ask.attempt,
                "route": job.route.name,
                "upstream": hold.target.id,
                "age_ms": millis(job.arrived.saturating_sub(job.first)),
                "waited_ms": millis(hold.since.saturating_sub(job.arrived)),
                "first_ms": hold.first.map(|at| millis(at.saturating_sub(job.arrived))),
                "took_ms": millis(took),
                "prompt": job.ask.tokens.map(|t| t.prompt),
                "expected": job.ask.expected_tokens,
            });
            write("dispatch", "answered", left_out, fields);
        }
    }

    fn refuse(&self, job: &Job, refusal: Refusal, course: &Course) -> Response<AnswerBody> {
        metrics::counter!("turmerichold_refusals_total", "reason" => refusal.name()).increment(1);
        if let Some(left_out) = due("dispatch", refusal.name(), Outcome::Failure) {
            let wait = match refusal {
                Refusal::Busy(wait) => Some(millis(wait)),
                _ => None,
            };
            let shortage = course.shortage.map(|s| {
                json!({
                    "waiting": s.waiting, "listed": s.listed, "open": s.open,
                    "in_flight": s.load.0, "slots": s.load.1, "weights": s.weights,
                })
            });
            let (plan, age) = self.feed.config_age();
            let fields = json!({
                "request": job.ask.attempt,
                "route": job.route.name,
                "plan": plan,
                "plan_age_ms": age.map(millis),
                "shortage": shortage,
                "status": refusal.status().as_u16(),
                "tried": course.tried,
                "age_ms": millis(now().saturating_sub(job.arrived)),
                "left_ms": millis(job.left(now())),
                "retry_after_ms": wait,
            });
            write("dispatch", refusal.name(), left_out, fields);
        }
        refusal.response(self.platform.dialect())
    }
}

fn assemble(
    head: &http::response::Parts,
    headers: http::HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
