use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

use compact_str::CompactString;
use config::VmId;
use protocol::{Answer, RunId, SettleReply, Ticket};
use serde::{Deserialize, Serialize};

/// A run that a keyed request is about to start, as the log carries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the account, the route and the caller's key.
    pub key: CompactString,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// The run.
    pub run: RunId,
    /// VM of the agent that is to run it.
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

/// What to do next about a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// No earlier run of the request has started or will: start this one.
    Run,
    /// Ask the agent of an earlier run what became of it.
    Settle(Claim),
    /// An earlier run has answered; this is its answer.
    Replay(Answer),
    /// An earlier run is going on.
    InProgress,
    /// An earlier run may have taken place.
    Unknown,
    /// The key belongs to a request with other content.
    Mismatch,
    /// The own claim is not in the stream.
    Absent,
}

/// Decides whether a keyed request may start, from the records of its stream.
///
/// The claims of a key are ordered by the log. One may start only when every
/// earlier one is void, so at most one of them ever runs.
#[derive(Debug)]
pub struct ClaimCheck {
    earlier: VecDeque<Claim>,
    state: ClaimStep,
}

impl ClaimCheck {
    /// A check of `own` against the stream's records in their order.
    pub fn new(records: &[ClaimRecord], own: &Claim) -> Self {
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
                ClaimRecord::Claim(c) if c.key == own.key => Some(c),
                _ => None,
            })
            .collect();
        let Some(place) = same_key.iter().position(|c| c.run == own.run) else {
            return ClaimCheck::settled(ClaimStep::Absent);
        };
        let earlier: VecDeque<Claim> = same_key[..place]
            .iter()
            .filter(|c| !void.contains(&c.run))
            .map(|c| (*c).clone())
            .collect();
        if earlier.iter().any(|c| c.fingerprint != own.fingerprint) {
            return ClaimCheck::settled(ClaimStep::Mismatch);
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

    /// Records what became of the run asked about; `None` when its agent does not answer.
    pub fn record_reply(&mut self, reply: Option<SettleReply>) {
        match reply {
            Some(SettleReply::Voided) => drop(self.earlier.pop_front()),
            Some(SettleReply::Running) => self.state = ClaimStep::InProgress,
            Some(SettleReply::Answered(a)) => self.state = ClaimStep::Replay(a),
            Some(SettleReply::Unknown) | None => self.state = ClaimStep::Unknown,
        }
    }

    fn settled(state: ClaimStep) -> Self {
        ClaimCheck {
            earlier: VecDeque::new(),
            state,
        }
    }
}
