//! Distribution of pieces in a fleet, simulated in virtual time.

mod fixture;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{FetchFailure, Holder, PieceFetch, PieceSource, Swarm, SwarmStep};
use fixture::{ms, secs, start};

const PIECES: u32 = 64;
/// Fetches that an agent has in flight.
const FETCHES: usize = 3;
/// Fetches that an entry has in flight.
const ENTRY_FETCHES: usize = 8;
/// Time to send a piece over an agent's link.
const PIECE_TIME: Duration = Duration::from_millis(35);
/// Time to send a piece over an entry's link of 40 Mbit/s.
const ENTRY_TIME: Duration = Duration::from_millis(7);
/// Usual time to send a piece over the origin's link.
const ORIGIN_TIME: Duration = Duration::from_millis(27);
/// Pieces in a holder's queue from which it refuses more.
const MAX_QUEUE: u32 = 2;
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Interval between notices of the pieces that agents hold.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);

struct Transfer {
    agent: usize,
    fetch: PieceFetch,
    arrives_at: Duration,
    /// The piece has left its source, or the receiver's link is not simulated.
    sent: bool,
}

/// Agents in three regions, an origin, and links that carry one piece at a time.
struct Fleet {
    swarms: Vec<Swarm>,
    dead: Vec<usize>,
    transfers: Vec<Transfer>,
    /// When the link of a process, or of the origin (`None`), is free again.
    free_at: HashMap<Option<usize>, Duration>,
    from_origin: u32,
    /// Most fetches that the origin had at once.
    most_at_origin: usize,
    between_regions: u32,
    origin_up: bool,
    /// Time to send a piece over the origin's link.
    origin_time: Duration,
    /// When an origin that is down is up again.
    origin_back: Option<Duration>,
    /// Processes with this index and above are entries with wide links.
    entries_from: usize,
    /// Whether sent and received pieces share the link of an agent.
    shared_link: bool,
}

fn addr(agent: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(agent).unwrap()], 7700))
}

fn region(agent: usize) -> String {
    ["north", "middle", "south"][agent % 3].to_owned()
}

impl Fleet {
    fn new(agents: usize) -> Self {
        Fleet::with_entries(agents, 0)
    }

    fn with_entries(agents: usize, entries: usize) -> Self {
        let swarm = |a| {
            let vm = addr(a).ip().to_string().into();
            Swarm::new(start(), vm, region(a).into(), a >= agents, PIECES)
        };
        Fleet {
            swarms: (0..agents + entries).map(swarm).collect(),
            dead: Vec::new(),
            transfers: Vec::new(),
            free_at: HashMap::new(),
            from_origin: 0,
            most_at_origin: 0,
            between_regions: 0,
            origin_up: true,
            origin_time: ORIGIN_TIME,
            origin_back: None,
            entries_from: agents,
            shared_link: false,
        }
    }

    fn send_notices(&mut self, now: Duration) {
        let holder = |(a, s): (usize, &Swarm)| Holder {
            vm: addr(a).ip().to_string().into(),
            addr: addr(a),
            region: region(a).into(),
            is_entry: a >= self.entries_from,
            pieces: (!self.dead.contains(&a)).then(|| s.held().clone()),
        };
        let holders: Vec<Holder> = self.swarms.iter().enumerate().map(holder).collect();
        for swarm in &mut self.swarms {
            swarm.set_holders(now, holders.clone());
        }
    }

    /// Starts the fetches of an agent; a source serves one piece after the other.
    fn start_fetches(&mut self, now: Duration, agent: usize) {
        while self.transfers.iter().filter(|f| f.agent == agent).count() < self.max_fetches(agent) {
            let SwarmStep::Fetch(fetch) = self.swarms[agent].next(now) else {
                return;
            };
            let (source, time) = match &fetch.source {
                PieceSource::Origin => (None, self.origin_time),
                PieceSource::Holder(a) => {
                    let LastOctet(last) = (*a).into();
                    let source = usize::from(last);
                    (Some(source), self.piece_time(source))
                }
            };
            let queue = self.free_at.get(&source).copied().unwrap_or(now);
            if source.is_some() && queue > now + PIECE_TIME * MAX_QUEUE {
                self.swarms[agent].record_failure(now, &fetch, FetchFailure::Busy);
                continue;
            }
            let arrives_at = self.transmit(now, source, time);
            self.transfers.push(Transfer {
                agent,
                fetch,
                arrives_at,
                sent: !self.shared_link,
            });
            let from_origin = |t: &&Transfer| t.fetch.source == PieceSource::Origin;
            let at_origin = self.transfers.iter().filter(from_origin).count();
            self.most_at_origin = self.most_at_origin.max(at_origin);
        }
    }

    /// Sends a piece over a link from `now` on; returns when it arrives.
    fn transmit(&mut self, now: Duration, link: Option<usize>, time: Duration) -> Duration {
        let begin = self.free_at.get(&link).copied().unwrap_or(now).max(now);
        self.free_at.insert(link, begin + time);
        begin + time
    }

    fn max_fetches(&self, process: usize) -> usize {
        match process >= self.entries_from {
            true => ENTRY_FETCHES,
            false => FETCHES,
        }
    }

    fn piece_time(&self, process: usize) -> Duration {
        match process >= self.entries_from {
            true => ENTRY_TIME,
            false => PIECE_TIME,
        }
    }

    fn complete_fetches(&mut self, now: Duration) {
        let (arrived, in_flight) = self.transfers.drain(..).partition(|f| f.arrives_at <= now);
        self.transfers = in_flight;
        for transfer in arrived {
            if !transfer.sent {
                let time = self.piece_time(transfer.agent);
                let arrives_at = self.transmit(now, Some(transfer.agent), time);
                self.transfers.push(Transfer {
                    arrives_at,
                    sent: true,
                    ..transfer
                });
                continue;
            }
            let Transfer { agent, fetch, .. } = transfer;
            let failed = match &fetch.source {
                PieceSource::Origin => !self.origin_up,
                PieceSource::Holder(a) => {
                    let LastOctet(last) = (*a).into();
                    let source = usize::from(last);
                    self.between_regions += u32::from(region(source) != region(agent));
                    self.dead.contains(&source)
                }
            };
            if failed {
                self.swarms[agent].record_failure(now, &fetch, FetchFailure::Failed);
                continue;
            }
            self.from_origin += u32::from(fetch.source == PieceSource::Origin);
            self.swarms[agent].add_piece(fetch.piece);
        }
    }

    /// Runs until every live agent holds all pieces; returns the time it took.
    fn run(&mut self, limit: Duration) -> Option<Duration> {
        let mut now = start();
        let mut notified = Duration::ZERO;
        while now < start() + limit {
            if now >= notified + NOTICE_INTERVAL {
                self.send_notices(now);
                notified = now;
            }
            for agent in 0..self.swarms.len() {
                if !self.dead.contains(&agent) {
                    self.start_fetches(now, agent);
                }
            }
            now += STEP;
            self.origin_up |= self.origin_back.is_some_and(|back| now >= back);
            self.complete_fetches(now);
            let live = (0..self.swarms.len()).filter(|a| !self.dead.contains(a));
            if live.into_iter().all(|a| self.swarms[a].is_complete()) {
                return Some(now - start());
            }
        }
        None
    }
}

struct LastOctet(u8);

impl From<SocketAddr> for LastOctet {
    fn from(addr: SocketAddr) -> Self {
        match addr.ip() {
            std::net::IpAddr::V4(v4) => LastOctet(v4.octets()[3]),
            std::net::IpAddr::V6(_) => unreachable!("agents of the test have IPv4 addresses"),
        }
    }
}

#[test]
fn one_copy_leaves_the_origin_and_one_crosses_each_link() {
    let mut fleet = Fleet::new(24);

    let took = fleet.run(secs(10)).expect("complete");

    assert!(took < secs(5), "{took:?}");
    assert!(fleet.from_origin <= PIECES * 3 / 2, "{}", fleet.from_origin);
    assert!(
        fleet.between_regions <= PIECES * 2 * 3 / 2,
        "{}",
        fleet.between_regions
    );
}

/// In a large fleet, all agents fetch the few pieces that have arrived. Without
/// refusals by busy holders, 88 agents took 7.6 s. The bound on versions is 8 s, of
/// which switches need 3 s.
#[test]
fn large_fleet_is_complete_in_time_for_its_switches() {
    let took = Fleet::new(88).run(secs(20)).expect("complete");

    assert!(took < secs(5), "{took:?}");
}

/// A large fleet in which sent and received pieces share the link of an agent: 16
/// pieces a second arrived on links that carry 28, because without entries each piece
/// uses an agent's link twice. Half of the bound of 8 s is left for the switches.
#[test]
fn large_fleet_with_entries_is_complete_in_half_of_the_bound() {
    let mut agents_only = Fleet::new(44);
    agents_only.shared_link = true;
    let mut with_entries = Fleet::with_entries(88, 12);
    with_entries.shared_link = true;

    let took_alone = agents_only.run(secs(20)).expect("complete");
    let took = with_entries.run(secs(20)).expect("complete");

    assert!(took < secs(4), "{took:?}");
    assert!(took < took_alone, "{took:?} {took_alone:?}");
    assert!(
        with_entries.from_origin <= PIECES * 3 / 2,
        "{}",
        with_entries.from_origin
    );
}

/// During rolling restarts 4.0 copies left the origin, since the only entry of a
/// region had two of the eighteen fetches there.
#[test]
fn region_with_one_entry_gets_its_share_of_the_origin() {
    let mut fleet = Fleet::with_entries(24, 4);
    fleet.shared_link = true;

    let took = fleet.run(secs(20)).expect("complete");

    assert!(took < secs(4), "{took:?}");
    assert!(fleet.from_origin <= PIECES * 3 / 2, "{}", fleet.from_origin);
}

#[test]
fn agents_replace_silent_entries() {
    let mut fleet = Fleet::with_entries(24, 6);
    fleet.shared_link = true;
    fleet.dead = (24..30).collect();

    let took = fleet.run(secs(20)).expect("complete");

    assert!(took < secs(8), "{took:?}");
}

#[test]
fn time_at_most_doubles_in_a_fleet_of_five_times_the_size() {
    let small = Fleet::new(12).run(secs(20)).expect("complete");

    let large = Fleet::new(60).run(secs(20)).expect("complete");

    assert!(large < small * 2, "{small:?} {large:?}");
}

#[test]
fn dead_importers_are_replaced() {
    let mut fleet = Fleet::new(24);
    fleet.dead = vec![0, 4, 8];

    let took = fleet.run(secs(20)).expect("complete");

    assert!(took < secs(12), "{took:?}");
}

#[test]
fn holder_serves_its_peers_while_the_origin_is_down() {
    let mut fleet = Fleet::new(12);
    fleet.origin_up = false;
    (0..PIECES).for_each(|p| fleet.swarms[0].add_piece(p));

    let took = fleet.run(secs(30)).expect("complete");

    assert_eq!(fleet.from_origin, 0);
    assert!(took < secs(20), "{took:?}");
}

/// The origin was down for six seconds. By then every agent was allowed to fetch every
/// piece, and 3.8 copies left the origin at once.
#[test]
fn takeover_times_restart_after_an_outage_of_the_origin() {
    let mut fleet = Fleet::new(24);
    fleet.origin_up = false;
    fleet.origin_back = Some(start() + secs(6));

    let took = fleet.run(secs(30)).expect("complete");

    assert!(fleet.from_origin <= PIECES * 2, "{}", fleet.from_origin);
    assert!(took < secs(11), "{took:?}");
}

/// The origin accepts 48 connections, of which up to six are for readers of digests.
#[test]
fn fetches_of_three_regions_fit_the_connection_limit_of_the_origin() {
    let mut agents_only = Fleet::new(88);
    let mut with_entries = Fleet::with_entries(24, 4);
    with_entries.origin_up = false;
    with_entries.origin_back = Some(start() + secs(6));

    for fleet in [&mut agents_only, &mut with_entries] {
        fleet.run(secs(30)).expect("complete");

        assert!(fleet.most_at_origin <= 42, "{}", fleet.most_at_origin);
    }
}

/// Eight fetches of each region were in flight at an origin that takes 44 ms for a piece. The
/// digests of the next version waited for a second, until the origin crashed. Required: less
/// than half a second, and no more time until all hold all pieces.
#[test]
fn queue_at_the_origin_is_short_and_its_link_busy() {
    for (agents, entries) in [(40, 12), (24, 0)] {
        let mut fleet = Fleet::with_entries(agents, entries);
        fleet.shared_link = true;

        let took = fleet.run(secs(20)).expect("complete");

        let queue = ms(44) * u32::try_from(fleet.most_at_origin).unwrap();
        assert!(queue < ms(500), "{agents}, {entries}: {queue:?}");
        assert!(fleet.from_origin <= PIECES * 3 / 2, "{}", fleet.from_origin);
        // With eight fetches a region, 2.98 and 5.0 s.
        let limit = if entries > 0 { ms(3200) } else { ms(5300) };
        assert!(took < limit, "{agents}, {entries}: {took:?}");
    }
}

/// A copy takes 2.8 s on the link of a slow origin, longer than the first takeover time: other
/// importers fetched pieces that were queued there already. In a trial with an outage, 100
/// pieces left the origin where 71 were missing.
#[test]
fn importers_leave_each_other_time_at_a_slow_origin() {
    let mut fleet = Fleet::with_entries(40, 12);
    fleet.shared_link = true;
    fleet.origin_time = ms(44);

    fleet.run(secs(20)).expect("complete");

    assert!(fleet.from_origin <= PIECES * 9 / 8, "{}", fleet.from_origin);
}

#[test]
fn lost_piece_is_fetched_again() {
    let mut swarm = Swarm::new(start(), "a".into(), "north".into(), false, 1);
    swarm.add_piece(0);

    swarm.remove_piece(0);

    assert!(matches!(
        swarm.next(start() + ms(10)),
        SwarmStep::Fetch(PieceFetch { piece: 0, .. })
    ));
}
