use std::time::Duration;

/// A load or a fault that is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// The usual load.
    Steady,
    /// The weekend's backlog arrives at once.
    Backlog,
    /// The load goes up to 1.7 times the usual.
    Step,
    /// One account sends half of a load of 1.3.
    HotAccount,
    /// A step, in which many refused callers come back at once and often.
    Impatient,
    /// A step, in which many callers leave early.
    Leaving,
    /// A third of the engines is lost.
    Lost,
    /// Engines are added without weights while the load is high.
    Joining,
    /// A weight version is switched in a burst.
    Switch,
    /// A failure domain leaves.
    DomainOut,
    /// Twice what the engines bear, all the time.
    Double,
    /// Five times what the engines bear, all the time.
    Fivefold,
}

/// When the event of a pattern begins, after the start of the load.
pub(crate) const EVENT: Duration = Duration::from_secs(8);
/// When it ends.
pub(crate) const EVENT_END: Duration = Duration::from_secs(18);
/// Length of the load.
pub(crate) const LENGTH: Duration = Duration::from_secs(26);
/// Seconds of usual load that a backlog is worth.
const BACKLOG: f64 = 3.0;
/// Time in which a backlog arrives.
const BACKLOG_TIME: Duration = Duration::from_millis(300);

impl Pattern {
    /// All patterns.
    pub const ALL: [Pattern; 12] = [
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
        }
    }

    /// The load at a time after the start, against the usual one.
    pub fn load_factor(self, at: Duration) -> f64 {
        let during = at >= EVENT && at < EVENT_END;
        match self {
            Pattern::Backlog if at >= EVENT && at < EVENT + BACKLOG_TIME => {
                BACKLOG / BACKLOG_TIME.as_secs_f64()
            }
            Pattern::Step | Pattern::Impatient | Pattern::Leaving | Pattern::Joining if during => {
                1.7
            }
            Pattern::HotAccount | Pattern::Switch if during => 1.3,
            Pattern::Double => 2.0,
            Pattern::Fivefold => 5.0,
            _ => 1.0,
        }
    }

    /// Whether the usual load is all that the engines bear.
    pub(crate) fn is_full(self) -> bool {
        matches!(self, Pattern::Double | Pattern::Fivefold)
    }

    /// Share of the callers that come back at once and often.
    pub(crate) fn impatient(self) -> f64 {
        if self == Pattern::Impatient { 0.4 } else { 0.0 }
    }

    /// Share of the callers that leave early.
    pub(crate) fn leaving(self) -> f64 {
        if self == Pattern::Leaving { 0.3 } else { 0.0 }
    }

    /// Share of the requests of the event that one account sends.
    pub(crate) fn hot(self) -> f64 {
        if self == Pattern::HotAccount {
            0.5
        } else {
            0.0
        }
    }
}
