use std::collections::{HashMap, VecDeque};

use domain::{Moment, SendGate};

use crate::StartId;

/// Most gates kept of upstreams that are not listed and have no requests.
const MAX_UNUSED: usize = 1024;

/// Gates of upstreams, by their start. A closed gate outlives the record of its upstream,
/// which may be listed again.
#[derive(Debug, Default)]
pub struct SendGates {
    gates: HashMap<StartId, SendGate>,
    /// Starts in the order in which they were added.
    order: VecDeque<StartId>,
    /// Number of gates left by the last cleanup.
    kept: usize,
}

impl SendGates {
    /// The gate of an upstream that started as `start`.
    pub fn gate(&mut self, now: Moment, start: StartId) -> SendGate {
        if let Some(gate) = self.gates.get(&start) {
            return gate.clone();
        }
        if self.gates.len() >= self.kept + MAX_UNUSED {
            self.clean_up(now);
        }
        let gate = SendGate::default();
        self.gates.insert(start, gate.clone());
        self.order.push_back(start);
        gate
    }

    /// Number of gates kept.
    pub fn len(&self) -> usize {
        self.gates.len()
    }

    /// Whether no gate is kept.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Drops unused gates that are open, and the oldest others beyond the limit.
    fn clean_up(&mut self, now: Moment) {
        self.gates
            .retain(|_, gate| gate.is_shared() || !gate.is_open(now));
        let unused = self.gates.values().filter(|gate| !gate.is_shared());
        let mut surplus = unused.count().saturating_sub(MAX_UNUSED);
        self.order.retain(|start| {
            let Some(gate) = self.gates.get(start) else {
                return false;
            };
            if surplus == 0 || gate.is_shared() {
                return true;
            }
            surplus -= 1;
            self.gates.remove(start);
            false
        });
        self.kept = self.gates.len();
    }
}
