use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use bytes::Bytes;
use dispatch::{EventSplitter, Standing, Verdict};
use domain::{Dialect, Platform, RequestKind, Reply, UpstreamId, now};
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
use crate::relay::{Relay, millis};
use crate::send::{NotRun, Sent, send};

/// Longest answer that is collected before it is passed on, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;
/// Most upstreams that one request is offered to, refusals included.
const MAX_OFFERS: usize = 4;
/// Part of the objective after which a refused request is not offered again.
const DEFAULT_BUSY_WAIT: Duration = Duration::from_millis(900);

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

/// What has become of the request so far.
struct Course {
    tried: Vec<UpstreamId>,
    runs: u32,
    offers: usize,
}

impl<P: Platform> Dispatcher<P> {
    /// Answers one request.
    pub async fn dispatch(self: &Arc<Self>, job: Job) -> Response<AnswerBody> {
        let left = job.left(now());
        let mut sent = false;
        let answer = within(left, self.attempts(job, &mut sent)).await;
        answer.unwrap_or_else(|| {
            // Whatever was in flight is cancelled by now.
            let refusal = match sent {
                true => Refusal::TimedOut,
                false => Refusal::OutOfTime,
            };
            refusal.response(self.platform.dialect())
        })
    }

    async fn attempts(self: &Arc<Self>, job: Job, sent: &mut bool) -> Response<AnswerBody> {
        self.desk.count(&job.service);
        let mut job = Some(job);
        let mut course = Course {
            tried: Vec::new(),
            runs: 0,
            offers: 0,
        };
        let mut worst: Option<Refusal> = None;
        loop {
            let Some(current) = job.as_ref() else {
                break;
            };
            if let Some(refusal) = self.stop(current, &course) {
                return self.refuse(current, worst.unwrap_or(refusal), &course);
            }
            let hold = match self.desk.place(current, &course.tried).await {
                Placed::At(hold) => hold,
                Placed::Busy(wait) => {
                    let refusal = worst.unwrap_or(Refusal::Busy(wait));
                    return self.refuse(current, refusal, &course);
                }
                Placed::Nobody => {
                    let refusal = worst.unwrap_or(Refusal::Busy(DEFAULT_BUSY_WAIT));
                    return self.refuse(current, refusal, &course);
                }
            };
            if course.offers > 0 && !self.desk.may_repeat(&current.service) {
                let refusal = worst.unwrap_or(Refusal::Busy(DEFAULT_BUSY_WAIT));
                return self.refuse(current, refusal, &course);
            }
            match self.attempt(&mut job, hold, &mut course, sent).await {
                Step::Done(response) => return response,
                Step::Final(refusal) => {
                    if let Some(job) = &job {
                        return self.refuse(job, refusal, &course);
                    }
                    break;
                }
                Step::Again(refusal) => worst = Some(graver(worst, refusal)),
            }
        }
        Refusal::Broken.response(self.platform.dialect())
    }

    /// Why the request must not be sent now, if so.
    fn stop(&self, job: &Job, course: &Course) -> Option<Refusal> {
        if job.ask.key.is_some() && self.feed.standing() == Standing::Expired {
            return Some(Refusal::NotReady);
        }
        if self.desk.verdict(job.fingerprint) == Verdict::Refuse {
            return Some(Refusal::Quarantined);
        }
        let over = course.runs >= job.route.attempts || course.offers >= MAX_OFFERS;
        over.then_some(Refusal::Busy(DEFAULT_BUSY_WAIT))
    }

    /// Sends the request to one upstream.
    async fn attempt(
        self: &Arc<Self>,
        slot: &mut Option<Job>,
        hold: Hold<P>,
        course: &mut Course,
        sent: &mut bool,
    ) -> Step {
        let Some(job) = slot.as_ref() else {
            return Step::Final(Refusal::Broken);
        };
        course.tried.push(hold.target.id.clone());
        course.offers += 1;
        // Until it is proven otherwise the request may run from here on.
        let before = std::mem::replace(sent, true);
        let outcome = send(&self.platform, &self.pool, job, &hold, None).await;
        match outcome {
            Sent::Answer(exchange, reply) => {
                course.runs += 1;
                if job.route.kind.is_stream() && exchange.head.status.is_success() {
                    let Some(job) = slot.take() else {
                        return Step::Final(Refusal::Broken);
                    };
                    let tried = std::mem::take(&mut course.tried);
                    return Step::Done(self.stream(job, exchange, reply, hold, tried));
                }
                self.collect(job, exchange, reply, hold).await
            }
            Sent::NotRun(why) => {
                *sent = before;
                self.not_run(job, &hold, why, course)
            }
            Sent::Unknown(why) => {
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
        self.desk.broke(hold, job.fingerprint);
        let fields = json!({
            "request": job.ask.attempt,
            "upstream": hold.target.id,
            "age_ms": millis(now().saturating_sub(job.arrived)),
            "why": why,
        });
        decision("dispatch", "outcome unknown", Outcome::Failure, fields);
        match job.route.kind.is_repeatable() {
            true => Step::Again(Refusal::Broken),
            false => Step::Final(Refusal::Broken),
        }
    }

    /// Reads an answer whole before it is passed on, so that a cut one can be
    /// told from a complete one.
    async fn collect(&self, job: &Job, exchange: Exchange, reply: Reply, hold: Hold<P>) -> Step {
        let Exchange { head, mut body } = exchange;
        let bytes = match body.collect(ANSWER_LIMIT).await {
            Ok(bytes) => bytes,
            Err(e) => return self.unknown(job, &hold, &e.to_string()),
        };
        if !reply.closing {
            body.release(&self.pool, reply.keep);
        }
        let failed = head.status.is_server_error();
        if failed {
            self.desk.note(&hold, |s| s.failures += 0.02);
        }
        self.answered(job, &hold, now().saturating_sub(job.arrived));
        if failed && job.route.kind == RequestKind::Safe && self.may_try_again(job, &hold) {
            return Step::Again(Refusal::Broken);
        }
        let headers = self.platform.dialect().answer(&head);
        Step::Done(assemble(&head, headers, AnswerBody::Whole(Some(bytes))))
    }

    /// Whether an upstream's own failure may be followed by another attempt.
    fn may_try_again(&self, _job: &Job, _hold: &Hold<P>) -> bool {
        false
    }

    fn stream(
        self: &Arc<Self>,
        job: Job,
        exchange: Exchange,
        reply: Reply,
        hold: Hold<P>,
        tried: Vec<UpstreamId>,
    ) -> Response<AnswerBody> {
        let mut headers = self.platform.dialect().answer(&exchange.head);
        headers.remove(http::header::CONTENT_LENGTH);
        let head = exchange.head.clone();
        let (sender, parts) = bounded::<Result<Bytes, crate::Cut>>(8);
        let relay = Relay {
            dispatcher: self.clone(),
            job,
            exchange,
            reply,
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
    ) -> Option<(Exchange, Reply, Hold<P>)> {
        let attempts = usize::try_from(job.route.attempts).unwrap_or(usize::MAX);
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
                Sent::Answer(exchange, reply) if exchange.head.status.is_success() => {
                    tried.push(hold.target.id.clone());
                    return Some((exchange, reply, hold));
                }
                Sent::NotRun(NotRun::Unreachable) => {
                    self.desk.note(&hold, |s| s.failed(now()));
                    self.desk.refused(&hold);
                }
                Sent::NotRun(_) => {
                    self.desk.note(&hold, |s| s.full(now()));
                }
                _ => {
                    tried.push(hold.target.id.clone());
                    self.desk.note(&hold, |s| s.failed(now()));
                    self.desk.broke(&hold, job.fingerprint);
                }
            }
        }
        None
    }

    fn stop_resume(&self, job: &Job) -> bool {
        let expired = job.ask.key.is_some() && self.feed.standing() == Standing::Expired;
        expired || self.desk.verdict(job.fingerprint) == Verdict::Refuse
    }

    /// Records an answered request.
    pub fn answered(&self, job: &Job, hold: &Hold<P>, took: Duration) {
        self.desk.note(hold, |s| s.answered());
        self.desk.answered(hold, job.fingerprint);
        metrics::histogram!("turmerichold_request_duration_seconds").record(took.as_secs_f64());
        if let Some(left_out) = due("dispatch", "answered", Outcome::Success) {
            let fields = json!({
                "request": job.ask.attempt,
                "route": job.route.name,
                "upstream": hold.target.id,
                "age_ms": millis(job.arrived.saturating_sub(job.first)),
                "waited_ms": millis(hold.since.saturating_sub(job.arrived)),
                "first_ms": hold.first.map(|at| millis(at.saturating_sub(job.arrived))),
                "took_ms": millis(took),
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
            let fields = json!({
                "request": job.ask.attempt,
                "route": job.route.name,
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

/// The refusal to tell after a further attempt: one that may have run is never
/// followed by "not run".
fn graver(earlier: Option<Refusal>, later: Refusal) -> Refusal {
    match earlier {
        Some(Refusal::Broken) => Refusal::Broken,
        Some(Refusal::TimedOut) => Refusal::TimedOut,
        _ => later,
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
