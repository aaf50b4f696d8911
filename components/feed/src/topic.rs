use std::time::Duration;

/// Role of a process, which determines how and how often it reads records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads all records from the store, with short waits.
    Entry,
    /// Reads declared versions, upstreams and members, from entries where possible.
    Agent,
}

/// A topic of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Records of the operators.
    Fleet,
    /// Records of the upstreams.
    Upstreams,
    /// Records by which entries announce themselves.
    Members,
}

impl Topic {
    pub(crate) const ALL: [Topic; 3] = [Topic::Fleet, Topic::Upstreams, Topic::Members];

    /// Index into arrays with one element per topic.
    pub(crate) fn index(self) -> usize {
        match self {
            Topic::Fleet => 0,
            Topic::Upstreams => 1,
            Topic::Members => 2,
        }
    }

    /// How long a read waits for the first record.
    pub(crate) fn wait(self, role: Role) -> Duration {
        match (role, self) {
            // Each read confirms the configuration, so it must return quickly.
            (Role::Entry, Topic::Fleet) => Duration::from_millis(900),
            (Role::Entry, _) => Duration::from_millis(4000),
            (Role::Agent, Topic::Fleet) => Duration::from_millis(5000),
            (Role::Agent, _) => Duration::from_millis(15_000),
        }
    }

    /// Pause between two reads, so that records that arrive one by one are read in
    /// batches.
    pub(crate) fn pause(self, role: Role) -> Duration {
        match (role, self) {
            (_, Topic::Fleet) => Duration::from_millis(30),
            (Role::Entry, Topic::Upstreams) => Duration::from_millis(600),
            (Role::Entry, Topic::Members) => Duration::from_millis(700),
            (Role::Agent, Topic::Upstreams) => Duration::from_millis(1500),
            // Peers send the members together with the upstreams.
            (Role::Agent, Topic::Members) => Duration::from_secs(30),
        }
    }
}
