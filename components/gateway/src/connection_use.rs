use dispatch::ConnectionBudget;
use serde_json::{Value, json};

/// Connections to one upstream, as this entry knows them.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionUse {
    /// Idle connections that this entry keeps.
    pub idle: usize,
    /// Requests of this entry in flight.
    pub own: u32,
    /// Requests of other entries in flight, as they last announced them.
    pub others: u32,
    /// Budget of the upstream, if the configuration states its limit.
    pub budget: Option<ConnectionBudget>,
}

impl ConnectionUse {
    /// Fields of a decision line.
    pub fn fields(&self) -> Value {
        json!({
            "idle": self.idle,
            "in_flight": self.own,
            "others_in_flight": self.others,
            "entries": self.budget.and_then(|b| b.entries()),
            "limit": self.budget.map(|b| b.limit()),
        })
    }
}
