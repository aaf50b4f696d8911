use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kernel::Clock;
use platform::{LogClient, PlatformError};
use protocol::{RunId, RunRequest, SettleReply};
use requests::{Claim, ClaimCheck, ClaimMemory, ClaimRecord, ClaimStep, EraWatch};
use serde_json::json;
use smol::Timer;
use telemetry::{Outcome, decision};
use wire::{Client, with_timeout};

use crate::caller_request::CallerRequest;
use crate::exchange::send_settle;
use crate::placement::Target;

/// Number of streams of the log that claims are distributed over by their keys.
const STREAM_COUNT: u64 = 4096;
/// Earlier records of a stream that a claim is checked against. At 200 requests with
/// keys a second, about 29 records are added to a stream in ten minutes.
const CHECKED_RECORDS: u64 = 64;

/// Pause between two `Settle` messages for an earlier run in progress.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which the era of the log is compared.
const ERA_INTERVAL: Duration = Duration::from_millis(50);
/// Claims of requests with idempotency keys, in the platform's log.
pub struct Claims {
    log: LogClient,
    client: Client,
    clock: Clock,
    memory: Arc<Mutex<ClaimMemory>>,
    era: Arc<Mutex<EraWatch>>,
}

impl Claims {
    /// Claims in `log`; `client` sends `Settle` messages for earlier runs to their agents.
    pub fn new(log: LogClient, client: Client, clock: Clock) -> Self {
        let memory = Arc::<Mutex<ClaimMemory>>::default();
        let era = Arc::<Mutex<EraWatch>>::default();
        let rewrite = rewrite_claims(log.clone(), memory.clone(), era.clone(), clock);
        smol::spawn(rewrite).detach();
        Claims {
            log,
            client,
            clock,
            memory,
            era,
        }
    }

    /// The claim that a run needs: none if the request is idempotent or has no key.
    pub fn claim_for(
        &self,
        request: &CallerRequest,
        target: &Target,
        run: &RunRequest,
    ) -> Option<Claim> {
        let key = request.claim_key().filter(|_| !request.idempotent)?;
        Some(Claim {
            key,
            fingerprint: run.fingerprint,
            run: run.id.clone(),
            vm: target.vm.clone(),
            addr: target.addr,
            ticket: run.ticket,
        })
    }

    /// Appends a claim to the log and decides whether its run may start; waits up to
    /// `timeout` for the log and for the response of an earlier run in progress.
    pub async fn check(&self, claim: &Claim, timeout: Duration) -> ClaimStep {
        let deadline = Instant::now() + timeout;
        let records = match with_timeout(timeout, self.publish(claim)).await {
            Some(Ok(records)) => records,
            Some(Err(e)) => {
                log_failure("claim not checked", &claim.run, &e.to_string());
                return ClaimStep::Absent;
            }
            None => {
                log_failure("claim not checked", &claim.run, "the log is too slow");
                return ClaimStep::Absent;
            }
        };
        let records = lock(&self.memory).complete(records, claim);
        let mut check = ClaimCheck::new(&records, claim);
        loop {
            match check.step() {
                ClaimStep::Settle(earlier) => {
                    let reply =
                        send_settle(&self.client, earlier.addr, &earlier.run, earlier.ticket);
                    let left = deadline.saturating_duration_since(Instant::now());
                    let reply = with_timeout(left, reply).await;
                    let is_pending = match &reply {
                        Some(Ok(reply)) => *reply == SettleReply::Running,
                        Some(Err(e)) => e.is_silence(),
                        None => false,
                    };
                    if is_pending && Instant::now() < deadline {
                        Timer::after(SETTLE_PAUSE).await;
                    } else {
                        check.record_reply(reply.and_then(Result::ok));
                    }
                }
                ClaimStep::Run => {
                    lock(&self.memory).record(self.clock.now(), claim.clone());
                    return ClaimStep::Run;
                }
                step => return step,
            }
        }
    }

    /// Records in the log that a claimed run never started. If the log fails, the
    /// claim stays.
    pub fn void(&self, claim: Claim) {
        lock(&self.memory).void(&claim.run);
        let log = self.log.clone();
        smol::spawn(async move {
            let record = ClaimRecord::Void(claim.run.clone());
            if let Err(e) = log.append(&stream_name(&claim), &record).await {
                log_failure("run not recorded as void", &claim.run, &e.to_string());
            }
        })
        .detach();
    }

    /// Appends a claim and reads the latest records of its stream.
    async fn publish(&self, claim: &Claim) -> Result<Vec<ClaimRecord>, PlatformError> {
        let stream = stream_name(claim);
        let record = ClaimRecord::Claim(claim.clone());
        let position = self.log.append(&stream, &record).await?;
        let from = position.offset.saturating_sub(CHECKED_RECORDS);
        // Without the records up to the claim, it is not known which were first.
        let page = self.log.read_all::<ClaimRecord>(&stream, from).await?;
        let now = self.clock.now();
        let mut watch = lock(&self.era);
        // Until the change of an era is observed, no claim of it is decided.
        if position.era != page.era || !watch.is_current(page.era) || watch.is_rewriting(now) {
            return Err(PlatformError::Outdated { call: "claim" });
        }
        Ok(page.records.into_iter().map(|(_, r)| r).collect())
    }
}

/// Appends the claims of this process again whenever the log was restored from an older
/// copy, which may lack them.
async fn rewrite_claims(
    log: LogClient,
    memory: Arc<Mutex<ClaimMemory>>,
    watch: Arc<Mutex<EraWatch>>,
    clock: Clock,
) {
    loop {
        Timer::after(ERA_INTERVAL).await;
        let Some(era) = log.era() else { continue };
        if !lock(&watch).observe(clock.now(), era) {
            continue;
        }
        let claims = lock(&memory).claims(clock.now());
        log::warn!(
            "claims: the log was restored; appending {} claims again",
            claims.len()
        );
        for claim in claims {
            let stream = stream_name(&claim);
            if let Err(e) = log.append(&stream, &ClaimRecord::Claim(claim)).await {
                log::warn!("claims: claim not appended again: {e}");
            }
        }
    }
}

fn log_failure(what: &'static str, run: &RunId, error: &str) {
    let fields = json!({ "run": run, "error": error });
    decision("claims", what, Outcome::Failure, fields);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn stream_name(claim: &Claim) -> String {
    format!("claims-{}", fleet::id_hash(&claim.key) % STREAM_COUNT)
}
