use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use http_types::{Method, StatusCode};
use protocol::{
    Crash, Load, Refusal, RunId, RunRequest, Settle, SettleReply, Ticket, UpstreamResponse,
    headers, paths,
};
use wire::{Call, CallResponse, Client, WireError};

use crate::placement::Target;

/// Silence after which the agent is asked, on a new connection, what became of a run.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Such questions without an answer after which the agent counts as gone.
const MAX_SILENT_PROBES: u32 = 2;
/// Longest wait for the answer to such a question.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two such questions while the run goes on.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Longest silence between two bytes of a streamed answer.
const BODY_GAP: Duration = Duration::from_secs(10);
/// Longest kept answer that is read, in bytes.
const ANSWER_LIMIT: usize = 2 << 20;
/// Longest refusal or report of a crash that is read, in bytes.
const REFUSAL_LIMIT: usize = 64 << 10;

/// What became of one attempt.
pub enum Exchanged {
    /// The head of the upstream's answer; the body follows.
    Answering(Box<CallResponse>, Option<Load>),
    /// The whole answer, kept by the agent after the connection was lost.
    Kept(UpstreamResponse),
    /// Proven: it did not run and never will.
    NotRun(Option<Refusal>, Option<Load>),
    /// It may have run, and the agent or the connection to it failed.
    Unknown(String),
    /// It may have run, but gave no answer before its deadline.
    TimedOut,
    /// It was in flight when its upstream crashed.
    Crashed(Crash),
}

/// Sends a run to an agent and finds out what became of it within `limit`.
pub async fn exchange(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    limit: Duration,
) -> Exchanged {
    let deadline = Instant::now() + limit;
    let call = match call(target, run, limit) {
        Ok(call) => call,
        Err(e) => return Exchanged::Unknown(e.to_string()),
    };
    let mut reply = pin!(client.send(call));
    let mut silent = 0;
    loop {
        let probe = async {
            smol::Timer::after(PROBE_AFTER).await;
            None
        };
        let arrived = async { Some((&mut reply).await) }.or(probe).await;
        match arrived {
            Some(Ok(reply)) => return read_head(client, target, run, reply, deadline).await,
            Some(Err(e)) if e.is_unsent() => return Exchanged::NotRun(None, None),
            Some(Err(e)) => return settle(client, target, run, deadline, &e.to_string()).await,
            None => {}
        }
        match ask(client, target.addr, &run.id, run.ticket).await {
            Some(SettleReply::Running) => silent = 0,
            Some(other) => return settled(other),
            None => silent += 1,
        }
        if silent >= MAX_SILENT_PROBES {
            return Exchanged::Unknown("the agent is silent".to_owned());
        }
    }
}

fn call(target: &Target, run: &RunRequest, limit: Duration) -> Result<Call, WireError> {
    Ok(Call::new(Method::Post, target.addr, paths::RUN)?
        .body(wire::encode(run)?)
        // The agent gives up at the deadline and says so.
        .head_timeout(limit + PROBE_AFTER)
        .read_timeout(BODY_GAP))
}

async fn read_head(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    reply: CallResponse,
    deadline: Instant,
) -> Exchanged {
    if reply.header(headers::RUN_ID) != Some(run.id.as_str()) {
        return settle(
            client,
            target,
            run,
            deadline,
            "the reply belongs to another run",
        )
        .await;
    }
    if reply.header(headers::CRASH).is_some() {
        return read_crash(reply).await;
    }
    if reply.status() == StatusCode::GatewayTimeout {
        return Exchanged::TimedOut;
    }
    let load = reply.header(headers::LOAD).and_then(|v| v.parse().ok());
    if reply.header(headers::UPSTREAM_STATUS).is_some() {
        return Exchanged::Answering(Box::new(reply), load);
    }
    let bytes = reply.bytes(REFUSAL_LIMIT).await.unwrap_or_default();
    match wire::decode::<Refusal>(&bytes) {
        Ok(refusal) => Exchanged::NotRun(Some(refusal), load),
        Err(e) => settle(client, target, run, deadline, &e.to_string()).await,
    }
}

async fn read_crash(reply: CallResponse) -> Exchanged {
    let bytes = reply.bytes(REFUSAL_LIMIT).await.unwrap_or_default();
    match wire::decode(&bytes) {
        Ok(crash) => Exchanged::Crashed(crash),
        Err(e) => Exchanged::Unknown(e.to_string()),
    }
}

/// Asks on new connections until the run is settled or the deadline has passed.
pub async fn settle(
    client: &Client,
    target: &Target,
    run: &RunRequest,
    deadline: Instant,
    cause: &str,
) -> Exchanged {
    loop {
        match ask(client, target.addr, &run.id, run.ticket).await {
            Some(SettleReply::Running) => {}
            Some(other) => return settled(other),
            // A dead agent's successor has another incarnation and knows nothing.
            None => return Exchanged::Unknown(cause.to_owned()),
        }
        if Instant::now() >= deadline {
            return Exchanged::TimedOut;
        }
        smol::Timer::after(PROBE_PAUSE).await;
    }
}

fn settled(reply: SettleReply) -> Exchanged {
    match reply {
        SettleReply::Voided => Exchanged::NotRun(None, None),
        SettleReply::Answered(answer) => Exchanged::Kept(answer),
        SettleReply::Running | SettleReply::Unknown => {
            Exchanged::Unknown("the agent does not know".to_owned())
        }
    }
}

/// Asks an agent, on a new connection, what became of a run; voids it if it has not started.
pub async fn ask(
    client: &Client,
    addr: SocketAddr,
    id: &RunId,
    ticket: Ticket,
) -> Option<SettleReply> {
    let message = Settle {
        id: id.clone(),
        ticket,
    };
    let call = Call::new(Method::Post, addr, paths::SETTLE)
        .ok()?
        .body(wire::encode(&message).ok()?)
        .connect_timeout(PROBE_LIMIT)
        .head_timeout(PROBE_LIMIT)
        .read_timeout(PROBE_LIMIT)
        .new_connection();
    let reply = client.send(call).await.ok()?;
    let bytes = reply.bytes(ANSWER_LIMIT).await.ok()?;
    wire::decode(&bytes).ok()
}
