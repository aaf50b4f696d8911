use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

use compact_str::CompactString;
use config::VmId;
use protocol::{RunId, SettleReply, Ticket, UpstreamResponse};
use serde::{Deserialize, Serialize};

/// A run that a request with an idempotency key is about to start, as recorded in
/// the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the account, the route and the caller's key.
    pub key: CompactString,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Id of the run.
    pub run: RunId,
    /// VM of the agent that receives the run.
    pub vm: VmId,
    /// Address of that agent.
    pub addr: SocketAddr,
    /// Ticket of the run.
    pub ticket: Ticket,
}

/// A record of a claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimRecord {
    /// A run is about to start.
    Claim(Claim),
    /// A claimed run did not start and never will.
    Void(RunId),
}

/// Next step for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// No earlier run of the request has started or will: start the claimed one.
    Run,
    /// Send a `Settle` message for the run of this earlier claim to its agent.
    Settle(Claim),
    /// An earlier run returned this response: return it to the caller.
    Replay(UpstreamResponse),
    /// An earlier run is in progress.
    InProgress,
    /// An earlier run may have happened, with an unknown outcome.
    Unknown,
    /// The key was used before for a request with other content.
    Mismatch,
    /// The claim is not in the stream.
    Absent,
}

/// Decides from the records of its stream whether a claimed run may start.
///
/// The log orders the claims of a key. A run may start only when every earlier
/// claim is void, so at most one of them ever runs.
#[derive(Debug)]
pub struct ClaimCheck {
    earlier: VecDeque<Claim>,
    state: ClaimStep,
}

impl ClaimCheck {
    /// A check of `claim` against the records of the stream, in their order.
    pub fn new(records: &[ClaimRecord], claim: &Claim) -> Self {
        let void: HashSet<&RunId> = records
            .iter()
            .filter_map(|r| match r {
                ClaimRecord::Void(run) => Some(run),
                ClaimRecord::Claim(_) => None,
            })
            .collect();
        let same_key: Vec<&Claim> = records
            .iter()
            .filter_map(|r| match r {
                ClaimRecord::Claim(c) if c.key == claim.key => Some(c),
                _ => None,
            })
            .collect();
        let Some(index) = same_key.iter().position(|c| c.run == claim.run) else {
            return ClaimCheck::decided(ClaimStep::Absent);
        };
        let earlier: VecDeque<Claim> = same_key[..index]
            .iter()
            .filter(|c| !void.contains(&c.run))
            .map(|c| (*c).clone())
            .collect();
        if earlier.iter().any(|c| c.fingerprint != claim.fingerprint) {
            return ClaimCheck::decided(ClaimStep::Mismatch);
        }
        ClaimCheck {
            earlier,
            state: ClaimStep::Run,
        }
    }

    /// What to do next.
    pub fn step(&self) -> ClaimStep {
        match self.earlier.front() {
            Some(claim) if self.state == ClaimStep::Run => ClaimStep::Settle(claim.clone()),
            _ => self.state.clone(),
        }
    }

    /// Records the reply about the run to be settled; `None` if its agent does not
    /// reply.
    pub fn record_reply(&mut self, reply: Option<SettleReply>) {
        match reply {
            Some(SettleReply::Voided) => drop(self.earlier.pop_front()),
            Some(SettleReply::Running) => self.state = ClaimStep::InProgress,
            Some(SettleReply::Answered(a)) => self.state = ClaimStep::Replay(a),
            Some(SettleReply::Unknown) | None => self.state = ClaimStep::Unknown,
        }
    }

    fn decided(state: ClaimStep) -> Self {
        ClaimCheck {
            earlier: VecDeque::new(),
            state,
        }
    }
}
