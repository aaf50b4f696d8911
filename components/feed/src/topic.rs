use std::time::Duration;

/// Which records a process follows, and how closely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Everything, closely.
    Entry,
    /// Declared versions and other agents.
    Agent,
}

/// A part of the platform's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    Fleet,
    Upstreams,
    Members,
}

impl Topic {
    pub(crate) const ALL: [Topic; 3] = [Topic::Fleet, Topic::Upstreams, Topic::Members];

    /// Place in what is kept for each topic.
    pub(crate) fn index(self) -> usize {
        match self {
            Topic::Fleet => 0,
            Topic::Upstreams => 1,
            Topic::Members => 2,
        }
    }

    /// How long a read waits for records.
    pub(crate) fn wait(self, role: Role) -> Duration {
        match (role, self) {
            // Each answer confirms the configuration, so it may not take long.
            (Role::Entry, Topic::Fleet) => Duration::from_millis(900),
            (Role::Entry, _) => Duration::from_millis(4000),
            (Role::Agent, Topic::Fleet) => Duration::from_millis(5000),
            (Role::Agent, _) => Duration::from_millis(15_000),
        }
    }

    /// Pause between two reads, so that records which come one by one are read
    /// in batches.
    pub(crate) fn rest(self, role: Role) -> Duration {
        match (role, self) {
            (_, Topic::Fleet) => Duration::from_millis(30),
            (Role::Entry, Topic::Upstreams) => Duration::from_millis(600),
            (Role::Entry, Topic::Members) => Duration::from_millis(700),
            (Role::Agent, Topic::Upstreams) => Duration::from_millis(1500),
            // Asked for together with the upstreams.
            (Role::Agent, Topic::Members) => Duration::from_secs(30),
        }
    }
}
