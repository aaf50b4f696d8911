use std::ops::Range;
use std::time::Duration;

use crate::kind::{EQUAL_KINDS, RANKED_KINDS, kinds};

/// A load on the fleet, or a change of its engines under load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// The base load.
    Steady,
    /// Three seconds of base load arrive at once, as after a weekend.
    Backlog,
    /// The load rises to 1.7 times the base load.
    Step,
    /// The load rises to 1.3 times the base load; one account sends at least half of it.
    HotAccount,
    /// As `Step`; 40 % of the callers retry often and at once when they are refused.
    Impatient,
    /// As `Step`; 30 % of the callers cancel their requests early.
    Leaving,
    /// A third of the engines crash.
    Lost,
    /// As `Step`; engines are added that must first load weights.
    Joining,
    /// The load rises to 1.3 times the base load while all engines switch to a new
    /// weight version.
    Switch,
    /// A failure domain is taken out of service.
    DomainOut,
    /// Twice the capacity of the engines, all the time.
    Double,
    /// Five times the capacity of the engines, all the time.
    Fivefold,
    /// The base load; 15 % of the engines are 2.5 times slower, others every 600 ms.
    Uneven,
    /// As `Uneven`; the load rises to 1.3 times the base load.
    UnevenStep,
    /// Kinds of priorities 0, 1 and 2 in a shortage: the first sends 2.6 times its base load,
    /// then the second twice its own.
    Ranked,
    /// The base load; prompts share parts of 500 tokens, which engines retain.
    ShortParts,
    /// Parts of 4,000 tokens, with fewer requests: an engine prefills one in 193 ms.
    LongParts,
}

/// Time from the start of the load to the change that a pattern makes.
pub(crate) const EVENT_START: Duration = Duration::from_secs(8);
/// Time from the start of the load to the end of the change.
pub(crate) const EVENT_END: Duration = Duration::from_secs(18);
/// Duration of the load.
pub(crate) const LOAD_DURATION: Duration = Duration::from_secs(26);
/// Load with long parts, relative to the base load.
const LONG_PARTS_LOAD: f64 = 0.4;
/// Size of a backlog, in seconds of base load.
const BACKLOG_SECONDS: f64 = 3.0;
/// Time within which a backlog arrives.
const BACKLOG_TIME: Duration = Duration::from_millis(300);

/// Load of the kind of priority 0 in the first half of a shortage, relative to its base load.
const FIRST_SURGE: f64 = 2.6;
/// Load of the kind of priority 1 in the second half.
const SECOND_SURGE: f64 = 2.0;

impl Pattern {
    /// All patterns, in the order of reports.
    pub const ALL: [Pattern; 17] = [
        Pattern::Steady,
        Pattern::Backlog,
        Pattern::Step,
        Pattern::HotAccount,
        Pattern::Impatient,
        Pattern::Leaving,
        Pattern::Lost,
        Pattern::Joining,
        Pattern::Switch,
        Pattern::DomainOut,
        Pattern::Double,
        Pattern::Fivefold,
        Pattern::Uneven,
        Pattern::UnevenStep,
        Pattern::Ranked,
        Pattern::ShortParts,
        Pattern::LongParts,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Pattern::Steady => "steady",
            Pattern::Backlog => "backlog",
            Pattern::Step => "step",
            Pattern::HotAccount => "hot-account",
            Pattern::Impatient => "impatient",
            Pattern::Leaving => "leaving",
            Pattern::Lost => "lost",
            Pattern::Joining => "joining",
            Pattern::Switch => "switch",
            Pattern::DomainOut => "domain-out",
            Pattern::Double => "double",
            Pattern::Fivefold => "fivefold",
            Pattern::Uneven => "uneven",
            Pattern::UnevenStep => "uneven-step",
            Pattern::Ranked => "ranked",
            Pattern::ShortParts => "short-parts",
            Pattern::LongParts => "long-parts",
        }
    }

    /// Load at a time after the start, relative to the base load.
    pub fn load_factor(self, at: Duration) -> f64 {
        let during = at >= EVENT_START && at < EVENT_END;
        match self {
            Pattern::Backlog if at >= EVENT_START && at < EVENT_START + BACKLOG_TIME => {
                BACKLOG_SECONDS / BACKLOG_TIME.as_secs_f64()
            }
            Pattern::Step | Pattern::Impatient | Pattern::Leaving | Pattern::Joining if during => {
                1.7
            }
            Pattern::HotAccount | Pattern::Switch | Pattern::UnevenStep if during => 1.3,
            Pattern::Double => 2.0,
            Pattern::Fivefold => 5.0,
            Pattern::Ranked => self.rates(at).iter().sum(),
            Pattern::LongParts => LONG_PARTS_LOAD,
            _ => 1.0,
        }
    }

    /// Indices of the kinds of its requests.
    pub(crate) fn kinds(self) -> Range<usize> {
        match self {
            Pattern::Ranked => RANKED_KINDS,
            _ => EQUAL_KINDS,
        }
    }

    /// Rates of its kinds at a time after the start, relative to the base load of all.
    pub(crate) fn rates(self, at: Duration) -> [f64; 3] {
        let kinds = kinds();
        let [first, second, third] = std::array::from_fn(|k| kinds[self.kinds().start + k].share);
        let middle = EVENT_START + (EVENT_END - EVENT_START) / 2;
        match self {
            Pattern::Ranked if at >= EVENT_START && at < middle => {
                [first * FIRST_SURGE, second, third]
            }
            Pattern::Ranked if at >= middle && at < EVENT_END => {
                [first, second * SECOND_SURGE, third]
            }
            _ => [first, second, third],
        }
    }

    /// Tokens of the parts that prompts share, if they do.
    pub(crate) fn shared_tokens(self) -> Option<u32> {
        match self {
            Pattern::ShortParts => Some(500),
            Pattern::LongParts => Some(4000),
            _ => None,
        }
    }

    /// Whether the base load is the capacity of the engines, instead of a calm day's load.
    pub(crate) fn scales_capacity(self) -> bool {
        matches!(self, Pattern::Double | Pattern::Fivefold | Pattern::Ranked)
    }

    /// Share of the engines that are slow at any time, 0 to 1.
    pub(crate) fn slow_share(self) -> f64 {
        match self {
            Pattern::Uneven | Pattern::UnevenStep => 0.15,
            _ => 0.0,
        }
    }

    /// Share of the callers that retry often and at once, 0 to 1.
    pub(crate) fn impatient_share(self) -> f64 {
        if self == Pattern::Impatient { 0.4 } else { 0.0 }
    }

    /// Share of the callers that cancel early, 0 to 1.
    pub(crate) fn cancelling_share(self) -> f64 {
        if self == Pattern::Leaving { 0.3 } else { 0.0 }
    }

    /// Share of the requests during the change that are moved to one account, 0 to 1.
    pub(crate) fn hot_share(self) -> f64 {
        if self == Pattern::HotAccount {
            0.5
        } else {
            0.0
        }
    }
}
