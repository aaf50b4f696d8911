use std::collections::HashMap;
use std::time::Duration;

use domain::{
    FailureDomainId, ModelId, Moment, RegionId, ServiceId, Upstream, UpstreamId, WeightVersion,
};

use crate::{Holding, Seat, SeatLoad, Shares, StartTime};

/// Load, as a share of the slots, that a request avoids by leaving its region.
/// Lines between regions are thin, so a near upstream may be this much busier.
const REMOTE_PENALTY: f64 = 0.45;
/// The same for another failure domain of the region.
const DOMAIN_PENALTY: f64 = 0.05;
/// The same for an upstream that another entry fills.
const FOREIGN_PENALTY: f64 = 0.1;
/// Weight of a second of expected start time against load.
const START_PENALTY: f64 = 4.0;
/// Unread tokens up to which an upstream takes a request that is late already.
const LATE_UNREAD: u64 = 1500;
/// Weight of the failure rate against load.
const FAILURE_PENALTY: f64 = 2.0;
/// Penalty of an upstream that is still slow after its start.
const COLD_PENALTY: f64 = 0.5;

/// Upstreams up to which a choice looks at each of them.
const SMALL_FLEET: usize = 128;
/// Upstreams that it looks at in a larger fleet: the best of so many is close to
/// the best of all, and entries that look at different ones do not herd.
const SAMPLE: usize = 12;

/// Key of a seat: one start of an upstream.
pub type SeatKey = UpstreamId;

/// What a request needs of an upstream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Wanted {
    /// Regions that may serve it; empty for all.
    pub homes: Vec<RegionId>,
    /// Upstreams that it was sent to already.
    pub tried: Vec<SeatKey>,
    /// Model that has to be there.
    pub model: Option<ModelId>,
    /// Oldest weight version that is good enough.
    pub weights: Option<WeightVersion>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Expected tokens of its answer, where the caller has an idea.
    pub output: Option<u32>,
    /// Moment by which its first event is due, where it can be on time.
    pub due: Option<Moment>,
    /// What is left beyond the expected start before that moment.
    pub safety: Duration,
}

impl Wanted {
    /// Whether only some upstreams would do, whatever their load.
    pub fn is_particular(&self) -> bool {
        !self.homes.is_empty() || !self.tried.is_empty()
    }
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Send(SeatKey),
    /// Upstreams would do, but none has room now.
    Full,
    /// No upstream would do.
    Nobody,
}

/// The upstreams of one service, as one entry sees and uses them.
#[derive(Debug)]
pub struct Seats {
    service: ServiceId,
    seats: Vec<Seat>,
    places: HashMap<SeatKey, usize>,
    domain: FailureDomainId,
    region: RegionId,
    cold_rate: Option<f64>,
    start_time: StartTime,
    entries: u32,
}

impl Seats {
    /// No upstreams yet; `domain` and `region` are the entry's own.
    pub fn new(service: ServiceId, domain: FailureDomainId, region: RegionId) -> Self {
        Seats {
            service,
            seats: Vec::new(),
            places: HashMap::new(),
            domain,
            region,
            cold_rate: None,
            start_time: StartTime::new(None),
            entries: 1,
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Requests a second that this entry may send to a cold upstream.
    pub fn set_cold_rate(&mut self, rate: Option<f64>) {
        self.cold_rate = rate;
    }

    /// Entries that send to these upstreams, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Takes over which upstreams `entry`, this one, fills.
    pub fn set_shares(&mut self, shares: &Shares, entry: &str) {
        for seat in &mut self.seats {
            seat.holding = shares.holding(entry, seat.tag);
        }
    }

    /// Takes over the cost model of the service.
    pub fn set_start_time(&mut self, start_time: StartTime) {
        self.start_time = start_time;
    }

    /// Expected times to the first token.
    pub fn start_time(&self) -> &StartTime {
        &self.start_time
    }

    /// Adds an upstream or takes over its changed entry. A new start under the
    /// same id begins anew.
    pub fn list(&mut self, now: Moment, upstream: &Upstream, region: &str, tag: u32) {
        match self.places.get(&upstream.id) {
            Some(place) if self.seats[*place].upstream.started_ms == upstream.started_ms => {
                self.seats[*place].update(now, upstream.clone());
            }
            Some(place) => self.seats[*place] = Seat::new(now, upstream.clone(), region, tag),
            None => {
                self.places.insert(upstream.id.clone(), self.seats.len());
                self.seats
                    .push(Seat::new(now, upstream.clone(), region, tag));
            }
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: &str) {
        let Some(place) = self.places.remove(id) else {
            return;
        };
        self.seats.swap_remove(place);
        if let Some(moved) = self.seats.get(place) {
            self.places.insert(moved.upstream.id.clone(), place);
        }
    }

    /// A seat by its key.
    pub fn seat(&mut self, id: &str) -> Option<&mut Seat> {
        let place = self.places.get(id)?;
        self.seats.get_mut(*place)
    }

    /// All seats.
    pub fn iter(&self) -> impl Iterator<Item = &Seat> {
        self.seats.iter()
    }

    /// All seats, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Seat> {
        self.seats.iter_mut()
    }

    /// Chooses the upstream with the lowest load among those with room, near
    /// ones first. `evacuated` tells the failure domains that are out of service.
    pub fn choose(&self, now: Moment, wanted: &Wanted, evacuated: impl Fn(&str) -> bool) -> Choice {
        if self.seats.len() > SMALL_FLEET {
            let drawn = (0..SAMPLE).map(|_| &self.seats[fastrand::usize(..self.seats.len())]);
            let choice = self.best(now, wanted, &evacuated, drawn);
            if let Choice::Send(_) = choice {
                return choice;
            }
        }
        self.best(now, wanted, &evacuated, self.seats.iter())
    }

    fn best<'a>(
        &self,
        now: Moment,
        wanted: &Wanted,
        evacuated: &impl Fn(&str) -> bool,
        seats: impl Iterator<Item = &'a Seat>,
    ) -> Choice {
        let mut best: Option<(f64, &Seat)> = None;
        let mut fits = false;
        for seat in seats {
            if evacuated(&seat.upstream.failure_domain) || !self.suits(seat, wanted) {
                continue;
            }
            fits = true;
            if let Some(score) = self.score_in_time(now, seat, wanted)
                && best.is_none_or(|(s, _)| score < s)
            {
                best = Some((score, seat));
            }
        }
        match best {
            Some((_, seat)) => Choice::Send(seat.upstream.id.clone()),
            None if fits => Choice::Full,
            None => Choice::Nobody,
        }
    }

    /// Score of a seat that has room and serves the request in time.
    fn score_in_time(&self, now: Moment, seat: &Seat, wanted: &Wanted) -> Option<f64> {
        let load = seat.load(now, self.entries);
        let start = self.start_time.expect(load.unread, wanted.prompt);
        let in_time = match wanted.due {
            Some(due) => now + start + wanted.safety <= due,
            // What is late anyway does not make others late.
            None => load.unread <= LATE_UNREAD,
        };
        let end = now + start + self.start_time.writing(wanted.output);
        let usable = in_time && seat.outlasts(end) && self.has_room(now, seat, load);
        usable.then(|| self.score(now, seat, load, start))
    }

    fn suits(&self, seat: &Seat, wanted: &Wanted) -> bool {
        let home = wanted.homes.is_empty() || wanted.homes.contains(&seat.region);
        let held = wanted.model.as_ref().is_none_or(|m| {
            let held = seat.upstream.models.iter().find(|h| h.model == *m);
            held.is_some_and(|h| wanted.weights.is_none_or(|w| h.version >= w))
        });
        home && held && !wanted.tried.contains(&seat.upstream.id)
    }

    fn has_room(&self, now: Moment, seat: &Seat, load: SeatLoad) -> bool {
        let cold = seat.is_cold(now) && self.cold_rate.is_some_and(|r| !seat.bears(now, r));
        seat.is_open(now) && !cold && load.requests < seat.places()
    }

    fn score(&self, now: Moment, seat: &Seat, load: SeatLoad, start: Duration) -> f64 {
        let mut score = f64::from(load.requests) / f64::from(seat.upstream.slots.max(1));
        score += start.as_secs_f64() * START_PENALTY;
        if seat.region != self.region {
            score += REMOTE_PENALTY;
        } else if seat.upstream.failure_domain != self.domain {
            score += DOMAIN_PENALTY;
        }
        if seat.holding == Holding::Foreign {
            score += FOREIGN_PENALTY;
        }
        if seat.is_cold(now) {
            score += COLD_PENALTY;
        }
        // The random part keeps several entries from choosing the same one.
        score + seat.failures * FAILURE_PENALTY + fastrand::f64() * 0.06
    }
}
