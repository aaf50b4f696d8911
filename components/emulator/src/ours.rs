use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use dispatch::{
    Applicant, Asked, Intake, Party, Returners, Room, RoomRules, Seat, SeatLoad, Seats, Shares,
    StartTime, Wanted,
};
use domain::{EngineSpec, Moment, Upstream, UpstreamId, UpstreamState};

use crate::{Given, Policy, Request, SeatWord, kinds};

/// Most requests that wait at one entry, as in production.
const ROOM_PLACES: usize = 256;
/// Objective of a policy that knows none.
const NO_OBJECTIVE: Duration = Duration::from_secs(6);

/// The production decisions of one entry.
pub struct Ours {
    intake: Intake,
    returners: Returners,
    heard: HashMap<usize, Vec<(usize, SeatLoad)>>,
    objectives: bool,
}

impl Ours {
    /// An entry in `domain` among `entries`; `objectives` tells whether it knows
    /// when an answer is on time.
    pub fn new(domain: usize, entries: u32, spec: &EngineSpec, objectives: bool) -> Self {
        let name = domain_name(domain);
        let mut seats = Seats::new("llm".into(), name.clone(), name);
        seats.set_start_time(StartTime::new(Some(spec.clone())));
        seats.set_entries(entries);
        let rules = RoomRules {
            places: ROOM_PLACES,
        };
        Ours {
            intake: Intake::new(seats, Room::new(rules)),
            returners: Returners::default(),
            heard: HashMap::new(),
            objectives,
        }
    }

    /// Lists an engine of a failure domain.
    pub fn list(&mut self, now: Moment, engine: usize, domain: usize, slots: u32) {
        let domain = domain_name(domain);
        let upstream = Upstream {
            id: id(engine),
            service: "llm".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain.clone(),
            slots,
            state: UpstreamState::Ready,
            cold_remaining: Duration::ZERO,
            started_ms: 1,
            models: Vec::new(),
        };
        let tag = u32::try_from(engine).unwrap_or(u32::MAX);
        self.intake.seats.list(now, &upstream, &domain, tag);
    }

    /// Tells the entry which engines it fills.
    pub fn share(&mut self, entry: usize, entries: usize, domains: usize) {
        let party = |e| Party {
            vm: vm(e),
            region: domain_name(e % domains),
            demand: 1,
        };
        let entries: Vec<Party> = (0..entries).map(party).collect();
        let seats = self.intake.seats.iter();
        let upstreams: Vec<_> = seats.map(|s| (s.tag, s.region.clone())).collect();
        let shares = Shares::new(&entries, &upstreams);
        self.intake.seats.set_shares(&shares, &vm(entry));
    }

    fn seat(&mut self, engine: usize) -> Option<&mut Seat> {
        self.intake.seats.seat(&id(engine))
    }
}

fn id(engine: usize) -> UpstreamId {
    format_compact!("{engine}")
}

fn vm(entry: usize) -> domain::VmId {
    format_compact!("entry-{entry:03}")
}

fn domain_name(domain: usize) -> domain::FailureDomainId {
    format_compact!("d{domain}")
}

fn number(id: &str) -> usize {
    // Ids come from `id` above.
    id.parse().unwrap_or(0)
}

impl Policy for Ours {
    fn ask(&mut self, now: Moment, request: &Request) -> Given {
        let kind = kinds()[request.kind];
        let patience = request.until.saturating_sub(now);
        let (first, objective) = match self.objectives {
            true => (
                self.returners.first_sent(kind.name, now, patience),
                kind.objective,
            ),
            false => (now, NO_OBJECTIVE),
        };
        let applicant = Applicant {
            id: request.id,
            rank: 1,
            first,
            objective,
            until: request.until,
            wanted: Wanted {
                prompt: request.prompt,
                output: Some(request.hint),
                ..Wanted::default()
            },
        };
        match self.intake.ask(now, applicant, |_| false) {
            Asked::Seated(seating) => Given::Engine(number(&seating.key)),
            Asked::Waits => Given::Waits,
            Asked::Refused(wait) => Given::Refused(wait),
        }
    }

    fn pump(&mut self, now: Moment) -> Vec<(u64, usize)> {
        let seated = self.intake.pump(now, |_| false);
        seated.iter().map(|s| (s.id, number(&s.key))).collect()
    }

    fn expire(&mut self, now: Moment) -> Vec<(u64, Duration)> {
        let gone = self.intake.expire(now);
        let room = &self.intake.room;
        gone.iter().map(|id| (*id, room.retry_after(now))).collect()
    }

    fn leave(&mut self, id: u64) {
        self.intake.room.leave(id);
    }

    fn began(&mut self, engine: usize, request: &Request) {
        if let Some(seat) = self.seat(engine) {
            seat.read(request.prompt);
        }
    }

    fn ended(&mut self, engine: usize, request: &Request, read: bool) {
        if let Some(seat) = self.seat(engine) {
            if read {
                seat.answered();
            } else {
                seat.read(request.prompt);
            }
            seat.end();
        }
    }

    fn full(&mut self, now: Moment, engine: usize, request: &Request) {
        if let Some(seat) = self.seat(engine) {
            seat.full(now);
        }
        self.ended(engine, request, false);
    }

    fn loads(&self) -> Vec<(usize, SeatLoad)> {
        let busy = self.intake.seats.iter().filter(|s| s.own.requests > 0);
        busy.map(|s| (number(&s.upstream.id), s.own)).collect()
    }

    fn heard(&mut self, from: usize, loads: &[(usize, SeatLoad)]) {
        self.heard.insert(from, loads.to_vec());
        for seat in self.intake.seats.iter_mut() {
            let engine = number(&seat.upstream.id);
            let told = self.heard.values().flatten().filter(|(e, _)| *e == engine);
            seat.others = told.fold(SeatLoad::default(), |a, (_, b)| SeatLoad {
                requests: a.requests + b.requests,
                unread: a.unread + b.unread,
            });
        }
    }

    fn engine(&mut self, _now: Moment, engine: usize, word: SeatWord) {
        if let SeatWord::Gone = word {
            self.intake.seats.remove(&id(engine));
            return;
        }
        if let Some(seat) = self.seat(engine) {
            seat.switching = word == SeatWord::Closed;
            seat.closes = match word {
                SeatWord::Closes(at) => Some(at),
                SeatWord::Open | SeatWord::Closed | SeatWord::Gone => None,
            };
        }
    }
}
