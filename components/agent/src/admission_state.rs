use std::collections::{HashMap, VecDeque};

use config::Digest;
use protocol::{Crash, Load, Progress, RunId};
use requests::{ConcurrencyLimit, CrashDetector, LimitRange, RunTable};

use crate::engine::LoadReport;

/// State of the upstream and of its runs.
pub(crate) struct State {
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) runs: RunTable,
    pub(crate) in_flight: HashMap<RunId, InFlight>,
    pub(crate) suspects: usize,
    pub(crate) queued: usize,
    pub(crate) detector: CrashDetector,
    pub(crate) crashes: VecDeque<Crash>,
    pub(crate) incarnation: Option<u64>,
    pub(crate) reachable: bool,
    pub(crate) serving: Option<Digest>,
    pub(crate) target: Option<Digest>,
    pub(crate) switching: bool,
    pub(crate) progress: Option<Progress>,
}

/// A run in flight.
pub(crate) struct InFlight {
    pub(crate) fingerprint: u64,
    pub(crate) suspect: bool,
}

impl Default for State {
    fn default() -> Self {
        let range = LimitRange { cold: 1, warm: 1 };
        State {
            concurrency_limit: ConcurrencyLimit::new(range),
            runs: RunTable::new(fastrand::u64(1..)),
            in_flight: HashMap::new(),
            suspects: 0,
            queued: 0,
            detector: CrashDetector::default(),
            crashes: VecDeque::new(),
            incarnation: None,
            reachable: false,
            serving: None,
            target: None,
            switching: false,
            progress: None,
        }
    }
}

impl State {
    /// Records a load report of the upstream.
    pub(crate) fn record_report(&mut self, report: LoadReport) {
        if self.incarnation != Some(report.incarnation) {
            if self.incarnation.is_some() {
                log::warn!("admission: upstream has restarted");
            }
            self.incarnation = Some(report.incarnation);
            self.concurrency_limit.reset();
        }
        self.reachable = true;
        self.serving = report.serving.map(|s| s.content);
    }

    /// Load of the upstream without `excluded` of the runs.
    pub(crate) fn load(&self, excluded: usize) -> Load {
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            limit: to_u32(self.concurrency_limit.current()),
            in_flight: to_u32(self.concurrency_limit.in_flight() + self.queued - excluded),
            service_us: to_u32(
                usize::try_from(self.concurrency_limit.service_time().as_micros())
                    .unwrap_or(usize::MAX),
            ),
        }
    }
}
