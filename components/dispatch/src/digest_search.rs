use std::time::Duration;

/// Processes that read the digests of a version from the origin in each round, without
/// waiting for peers.
const ORIGIN_READERS: usize = 6;
/// Lists that a process reads from the origin in one round, as long as it responds: two that
/// agree, and one more in case that one is wrong. Read in separate rounds, the second came only
/// after the long pause.
const READS_PER_ROUND: usize = 3;
/// Round from which others read them from the origin, too.
const ORIGIN_ROUND: u32 = 6;
/// Peers that a process asks in a round if any has announced that it has the digests.
const PEERS_PER_ROUND: usize = 4;
/// Mean pause after the first rounds, and while peers have the digests.
const SHORT_PAUSE: Duration = Duration::from_millis(150);
/// Mean pause after the others: no source responds.
const LONG_PAUSE: Duration = Duration::from_millis(600);

/// Whom a process asks for digests in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestRound {
    /// Whether it asks the origin.
    pub from_origin: bool,
    /// Lists that it reads there at most, one after the other, until two agree or the origin
    /// does not respond.
    pub origin_reads: usize,
    /// Number of peers that it asks.
    pub peers: usize,
    /// Mean pause after the round, which ends early if a peer announces the digests.
    pub pause: Duration,
}

/// Search of a process for the digests of a version, in rounds.
///
/// While the origin is down, all processes of a fleet search at the same time. If each of
/// them asked the origin and several peers in each round, the entries that are asked first
/// would be busy with that instead of requests, and the origin would spend the first
/// seconds after its return on digests instead of pieces. The number of processes that ask
/// it in a round is therefore the same whatever the size of the fleet.
#[derive(Debug, Default)]
pub struct DigestSearch {
    round: u32,
}

impl DigestSearch {
    /// The only round of the process that ranks `rank`th, which goes on without digests if it
    /// gets none.
    pub fn once(rank: usize) -> DigestRound {
        DigestRound {
            from_origin: is_origin_reader(rank),
            origin_reads: READS_PER_ROUND,
            peers: PEERS_PER_ROUND,
            pause: SHORT_PAUSE,
        }
    }

    /// The next round of the process that ranks `rank`th of `count`, `announced` of whose
    /// peers have announced that they have the digests.
    pub fn next(&mut self, rank: usize, count: usize, announced: usize) -> DigestRound {
        let round = self.round;
        self.round += 1;
        DigestRound {
            from_origin: is_origin_reader(rank) || is_in_turn(rank, count, round),
            origin_reads: READS_PER_ROUND,
            peers: if announced > 0 { PEERS_PER_ROUND } else { 1 },
            pause: match announced > 0 || round < ORIGIN_ROUND {
                true => SHORT_PAUSE,
                false => LONG_PAUSE,
            },
        }
    }
}

/// Whether the process that ranks `rank`th reads the digests from the origin at once.
fn is_origin_reader(rank: usize) -> bool {
    rank < ORIGIN_READERS
}

/// Whether a process that is no origin reader asks the origin in a round, in case that none
/// of the readers reaches it. Groups of processes take turns.
fn is_in_turn(rank: usize, count: usize, round: u32) -> bool {
    let Some(late) = round.checked_sub(ORIGIN_ROUND) else {
        return false;
    };
    let groups = count.div_ceil(ORIGIN_READERS).max(1);
    let turn = usize::try_from(late).unwrap_or(usize::MAX) % groups;
    rank / ORIGIN_READERS == turn
}
