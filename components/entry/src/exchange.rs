use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use http_types::{Method, StatusCode};
use protocol::{
    Crash, Load, Refusal, RunId, RunRequest, Settle, SettleReply, Ticket, UpstreamResponse,
    headers, paths,
};
use smol::Timer;
use wire::{Call, CallResponse, Client, WireError, with_timeout};

use crate::placement::Target;

/// Time without a response after which a [`Settle`] message is sent to the agent on a
/// new connection.
const SETTLE_DELAY: Duration = Duration::from_secs(1);
/// Consecutive [`Settle`] messages without a reply after which the agent counts as
/// silent.
const MAX_MISSED_REPLIES: u32 = 2;
/// Longest wait for the reply to a [`Settle`] message.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the reply to the [`Settle`] message that withdraws a run. A run that it
/// does not void in time is not begun either, because its connection is closed then.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause between two [`Settle`] messages for a run in progress whose response was
/// lost.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest reply to a [`Settle`] message, in bytes.
const MAX_SETTLE_BYTES: usize = 2 << 20;
/// Longest refusal or crash report, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Outcome of one attempt.
pub enum ExchangeResult {
    /// The upstream responds: the head of the response, whose body follows, and the
    /// load that came with it.
    Response(Box<CallResponse>, Option<Load>),
    /// The complete response, which the agent stored after the connection was lost.
    Stored(UpstreamResponse),
    /// It did not run and never will: the agent did not receive the run or voided it.
    NotReceived,
    /// It did not run and never will: it was withdrawn as its caller has left.
    Withdrawn,
    /// The agent refused it, so that it did not run and never will.
    Refused(RunRefusal),
    /// It may have run: the agent or the connection to it failed, for this cause.
    Unknown(String),
    /// It may have run: there was no response before its caller has to be told.
    TimedOut,
    /// The upstream crashed while it was in flight.
    Crashed(Crash),
}

/// What happens next to a run that was sent.
enum Event {
    Response(Result<Box<CallResponse>, WireError>),
    /// The agent was asked about the run, and replied or did not.
    Settled(Option<SettleReply>),
    /// The caller has left: the run is withdrawn unless it has begun.
    Withdrawn,
    TimePassed,
}

/// Signals between a run and the request that it serves.
pub struct RunSignals {
    /// Signals that the agent does not reply; it may still do so later.
    pub silence: Sender<()>,
    /// Asks to withdraw the run unless it has begun.
    pub withdrawal: Receiver<()>,
}

/// How an agent is asked about a run whose response is late.
#[derive(Debug, Clone, Copy)]
struct Inquiry {
    delay: Duration,
    timeout: Duration,
    /// Whether the run is withdrawn if the agent does not reply.
    withdraws: bool,
}

impl Inquiry {
    const REGULAR: Inquiry = Inquiry {
        delay: SETTLE_DELAY,
        timeout: SETTLE_TIMEOUT,
        withdraws: false,
    };
    const WITHDRAWAL: Inquiry = Inquiry {
        delay: Duration::ZERO,
        timeout: WITHDRAWAL_TIMEOUT,
        withdraws: true,
    };
}

/// What the wait for a response has come to.
enum Awaited {
    Response(Box<CallResponse>),
    /// The response is lost, for this cause; the run may have begun.
    Lost(String),
    Ended(ExchangeResult),
}

/// Refusal of a run by its agent.
pub struct RunRefusal {
    /// Why it was refused.
    pub why: Refusal,
    /// Load of the upstream.
    pub load: Option<Load>,
    /// Time until the upstream wants requests again, where it has named one.
    pub retry_after: Option<Duration>,
}

/// Until when a run may go on.
#[derive(Debug, Clone, Copy)]
pub struct RunTimes {
    /// Time until its deadline.
    pub timeout: Duration,
    /// Time until its caller has to be told.
    pub answer_within: Duration,
    /// Its deadline on the agent's clock.
    pub expiry: Duration,
}

/// Sends a run to an agent and determines its outcome.
pub async fn exchange(
    client: Client,
    target: Target,
    run: RunRequest,
    times: RunTimes,
    signals: RunSignals,
) -> ExchangeResult {
    let answer_by = Instant::now() + times.answer_within;
    let call = match new_call(&target, &run, times) {
        Ok(call) => call,
        Err(e) => return ExchangeResult::Unknown(e.to_string()),
    };
    match await_response(&client, &target, &run, call, answer_by, signals).await {
        Awaited::Response(response) => {
            read_head(&client, &target, &run, *response, answer_by).await
        }
        Awaited::Lost(cause) => settle(&client, &target, &run, answer_by, &cause).await,
        Awaited::Ended(result) => result,
    }
}

/// Waits for the response to a run, and asks the agent about the run meanwhile. The connection
/// is closed if the response is lost.
async fn await_response(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    call: Call,
    answer_by: Instant,
    signals: RunSignals,
) -> Awaited {
    // Until the connection is open, nothing is written and the run can be dropped.
    let opened = AtomicBool::new(false);
    let mut response = pin!(async {
        let call = client.open(call).await?;
        opened.store(true, Ordering::Relaxed);
        call.send().await
    });
    let mut inquiry = Inquiry::REGULAR;
    let mut missed = 0;
    loop {
        let settled = async {
            Timer::after(inquiry.delay).await;
            let reply = send_settle(client, target.addr, &run.id, run.ticket);
            let reply = with_timeout(inquiry.timeout, reply).await;
            Event::Settled(reply.and_then(Result::ok))
        };
        let passed = async {
            Timer::at(answer_by).await;
            Event::TimePassed
        };
        let withdrawn = async {
            // It closes when the request has ended.
            if signals.withdrawal.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            Event::Withdrawn
        };
        let arrived = async { Event::Response((&mut response).await.map(Box::new)) };
        match arrived.or(withdrawn).or(settled).or(passed).await {
            Event::Response(Ok(response)) => return Awaited::Response(response),
            Event::Response(Err(e)) if e.is_unsent() => {
                return Awaited::Ended(ExchangeResult::NotReceived);
            }
            Event::Response(Err(e)) => return Awaited::Lost(e.to_string()),
            Event::Settled(Some(SettleReply::Running)) => missed = 0,
            Event::Settled(Some(SettleReply::Voided)) if inquiry.withdraws => {
                return Awaited::Ended(ExchangeResult::Withdrawn);
            }
            Event::Settled(Some(other)) => return Awaited::Ended(from_settle_reply(other)),
            Event::Settled(None) if inquiry.withdraws => {
                return Awaited::Lost("the agent does not reply".to_owned());
            }
            Event::Settled(None) => missed += 1,
            Event::Withdrawn if !opened.load(Ordering::Relaxed) => {
                return Awaited::Ended(ExchangeResult::Withdrawn);
            }
            Event::Withdrawn => {
                inquiry = Inquiry::WITHDRAWAL;
                continue;
            }
            Event::TimePassed if !opened.load(Ordering::Relaxed) => {
                return Awaited::Ended(ExchangeResult::NotReceived);
            }
            Event::TimePassed => return Awaited::Ended(ExchangeResult::TimedOut),
        }
        inquiry = Inquiry::REGULAR;
        if missed == MAX_MISSED_REPLIES {
            // It is full if the silence was signalled before.
            let _ = signals.silence.try_send(());
        }
    }
}

fn new_call(target: &Target, run: &RunRequest, times: RunTimes) -> Result<Call, WireError> {
    let RunTimes {
        timeout, expiry, ..
    } = times;
    let call = Call::new(Method::Post, target.addr, paths::RUN)?
        .body(wire::encode(run)?)
        .header(headers::EXPIRY_MS, &expiry.as_millis().to_string())
        // The agent responds at the deadline at the latest; the timeout leaves time for
        // that response to arrive.
        .head_timeout(timeout + SETTLE_DELAY)
        // A silent upstream may go on until the deadline.
        .read_timeout(timeout + SETTLE_DELAY)
        .total_timeout(timeout + SETTLE_DELAY);
    // An agent that stops may have closed an idle connection already, which would leave it
    // unknown whether the request ran.
    Ok(match run.idempotent {
        true => call,
        false => call.new_connection(),
    })
}

async fn read_head(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    response: CallResponse,
    answer_by: Instant,
) -> ExchangeResult {
    if response.header(headers::RUN_ID) != Some(run.id.as_str()) {
        return settle(
            client,
            target,
            run,
            answer_by,
            "the response belongs to another run",
        )
        .await;
    }
    if response.header(headers::CRASH).is_some() {
        return read_crash(response).await;
    }
    if response.status() == StatusCode::GatewayTimeout {
        return ExchangeResult::TimedOut;
    }
    let load = response.header(headers::LOAD).and_then(|v| v.parse().ok());
    if response.header(headers::UPSTREAM_STATUS).is_some() {
        return ExchangeResult::Response(Box::new(response), load);
    }
    let retry_after = response
        .header(headers::RETRY_MS)
        .and_then(|v| v.parse().ok())
        .map(Duration::from_millis);
    let bytes = response.bytes(MAX_REFUSAL_BYTES).await.unwrap_or_default();
    match wire::decode::<Refusal>(&bytes) {
        Ok(why) => ExchangeResult::Refused(RunRefusal {
            why,
            load,
            retry_after,
        }),
        Err(e) => settle(client, target, run, answer_by, &e.to_string()).await,
    }
}

async fn read_crash(response: CallResponse) -> ExchangeResult {
    let bytes = response.bytes(MAX_REFUSAL_BYTES).await.unwrap_or_default();
    match wire::decode(&bytes) {
        Ok(crash) => ExchangeResult::Crashed(crash),
        Err(e) => ExchangeResult::Unknown(e.to_string()),
    }
}

/// Sends [`Settle`] messages for a run whose response was lost, until the run is no
/// longer in progress or its caller has to be told. `cause` is why the response was lost.
pub async fn settle(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    answer_by: Instant,
    cause: &str,
) -> ExchangeResult {
    loop {
        let left = answer_by.saturating_duration_since(Instant::now());
        let reply = send_settle(client, target.addr, &run.id, run.ticket);
        match with_timeout(left, reply).await {
            None => return ExchangeResult::TimedOut,
            Some(Ok(SettleReply::Running)) => {}
            Some(Ok(other)) => return from_settle_reply(other),
            // A request that may be repeated is sent to another upstream instead.
            Some(Err(e)) if e.is_silence() && !run.idempotent => {}
            // Another message is useless if the agent died: its next incarnation has no
            // record of the run.
            Some(Err(_)) => return ExchangeResult::Unknown(cause.to_owned()),
        }
        if Instant::now() >= answer_by {
            return ExchangeResult::TimedOut;
        }
        Timer::after(SETTLE_PAUSE).await;
    }
}

fn from_settle_reply(reply: SettleReply) -> ExchangeResult {
    match reply {
        SettleReply::Voided => ExchangeResult::NotReceived,
        SettleReply::Answered(response) => ExchangeResult::Stored(response),
        SettleReply::Running | SettleReply::Unknown => {
            ExchangeResult::Unknown("the agent has no record of the outcome of the run".to_owned())
        }
    }
}

/// Requests the outcome of a run from its agent, on a new connection; a run that has
/// not started is voided.
pub async fn send_settle(
    client: &Client,
    addr: SocketAddr,
    id: &RunId,
    ticket: Ticket,
) -> Result<SettleReply, WireError> {
    let message = Settle {
        id: id.clone(),
        ticket,
    };
    let call = Call::new(Method::Post, addr, paths::SETTLE)?
        .body(wire::encode(&message)?)
        .connect_timeout(SETTLE_TIMEOUT)
        .head_timeout(SETTLE_TIMEOUT)
        .read_timeout(SETTLE_TIMEOUT)
        .total_timeout(SETTLE_TIMEOUT)
        .new_connection();
    // Boxed: it would enlarge the state of every request.
    let reply = Box::pin(client.send(call)).await?;
    let bytes = reply.bytes(MAX_SETTLE_BYTES).await?;
    wire::decode(&bytes)
}
