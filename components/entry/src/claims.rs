use std::time::{Duration, Instant};

use platform::{LogClient, PlatformError};
use protocol::{RunRequest, SettleReply};
use requests::{Claim, ClaimCheck, ClaimRecord, ClaimStep};
use smol::Timer;
use wire::Client;

use crate::caller_request::CallerRequest;
use crate::exchange::ask;
use crate::placement::Target;

/// Streams that claims are spread over.
const STREAMS: u64 = 4096;
/// Records of a stream that a claim is checked against. At 200 keyed requests a
/// second a stream sees about 29 records in ten minutes.
const WINDOW: u64 = 64;

/// Pause between two questions about an earlier run that is going on.
const PAUSE: Duration = Duration::from_millis(50);

/// Claims of keyed requests in the platform's log.
pub struct Claims {
    log: LogClient,
    client: Client,
}

impl Claims {
    /// Claims in `log`.
    pub fn new(log: LogClient, client: Client) -> Self {
        Claims { log, client }
    }

    /// The claim that a run needs: none if it may be repeated or has no key.
    pub fn claim_of(
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

    /// Puts a claim into the log and decides whether its run may start; waits up
    /// to `limit` for the answer of an earlier run that is going on.
    pub async fn check(&self, claim: &Claim, limit: Duration) -> ClaimStep {
        let deadline = Instant::now() + limit;
        let records = match self.publish(claim).await {
            Ok(records) => records,
            Err(e) => {
                log::warn!("claims: {e}");
                return ClaimStep::Absent;
            }
        };
        let mut check = ClaimCheck::new(&records, claim);
        loop {
            match check.step() {
                ClaimStep::Settle(earlier) => {
                    let reply = ask(&self.client, earlier.addr, &earlier.run, earlier.ticket).await;
                    if reply == Some(SettleReply::Running) && Instant::now() < deadline {
                        Timer::after(PAUSE).await;
                    } else {
                        check.record_reply(reply);
                    }
                }
                step => return step,
            }
        }
    }

    /// Notes, as well as the log allows, that a claimed run never started.
    pub fn void(&self, claim: Claim) {
        let log = self.log.clone();
        smol::spawn(async move {
            let record = ClaimRecord::Void(claim.run.clone());
            if let Err(e) = log.append(&stream(&claim), &record).await {
                log::warn!("claims: {} not noted as void: {e}", claim.run);
            }
        })
        .detach();
    }

    async fn publish(&self, claim: &Claim) -> Result<Vec<ClaimRecord>, PlatformError> {
        let stream = stream(claim);
        let record = ClaimRecord::Claim(claim.clone());
        let offset = self.log.append(&stream, &record).await?;
        let from = offset.saturating_sub(WINDOW);
        let page = self
            .log
            .read::<ClaimRecord>(&stream, from, Duration::ZERO)
            .await?;
        Ok(page.records.into_iter().map(|(_, r)| r).collect())
    }
}

fn stream(claim: &Claim) -> String {
    format!("claims-{}", fleet::id_hash(&claim.key) % STREAMS)
}
