use std::time::Duration;

use dispatch::SeatLoad;
use domain::Moment;

use crate::Request;

/// What an entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Given {
    /// It goes to this engine.
    Engine(usize),
    /// It waits at the entry.
    Waits,
    /// It is refused and may come back after this time.
    Refused(Duration),
}

/// What an entry hears of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SeatWord {
    /// It serves.
    Open,
    /// It takes nothing new for now.
    Closed,
    /// It takes nothing new from this moment on.
    Closes(Moment),
    /// It is gone.
    Gone,
}

/// The decisions of one entry, as the emulator drives them.
pub trait Policy {
    /// A request arrives.
    fn ask(&mut self, now: Moment, request: &Request) -> Given;
    /// Waiting requests that have a place now, with their engines.
    fn pump(&mut self, now: Moment) -> Vec<(u64, usize)>;
    /// Waiting requests that are given up now, each with its advice.
    fn expire(&mut self, now: Moment) -> Vec<(u64, Duration)>;
    /// A waiting request's caller has left.
    fn leave(&mut self, id: u64);
    /// An engine has written the first token of a request.
    fn began(&mut self, engine: usize, request: &Request);
    /// A request has ended; `read` tells whether it had begun.
    fn ended(&mut self, engine: usize, request: &Request, read: bool);
    /// An engine has refused a request.
    fn full(&mut self, now: Moment, engine: usize, request: &Request);
    /// What this entry has in flight, for the others.
    fn loads(&self) -> Vec<(usize, SeatLoad)>;
    /// What another entry has in flight.
    fn heard(&mut self, from: usize, loads: &[(usize, SeatLoad)]);
    /// News of an engine.
    fn engine(&mut self, now: Moment, engine: usize, word: SeatWord);
}

/// A policy that can be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// What runs in production.
    Ours,
    /// The same with an order that knows nothing of objectives: everybody counts
    /// as being on time.
    NoObjectives,
    /// One queue without end, least loaded engine with a free slot.
    FirstCome,
    /// Engines in turn, whatever their load.
    RoundRobin,
    /// Least loaded engine; refused when no slot is free.
    RefuseFull,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Ours,
        PolicyName::NoObjectives,
        PolicyName::FirstCome,
        PolicyName::RoundRobin,
        PolicyName::RefuseFull,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Ours => "ours",
            PolicyName::NoObjectives => "no-objectives",
            PolicyName::FirstCome => "first-come",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::RefuseFull => "refuse-full",
        }
    }
}
