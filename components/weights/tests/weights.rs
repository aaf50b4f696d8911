//! Tests of manifests, the chunk cache and the planner.

use std::collections::HashMap;
use std::time::Duration;

use config::Digest;
use testkit::check_seeds;
use weights::{
    ChunkCache, Fetch, FetchError, Manifest, Peer, Planner, Source, Sources, Step, WeightsError,
};

/// Size of a chunk in bytes.
const CHUNK_SIZE: u64 = 1000;

fn data(chunks: usize) -> Vec<u8> {
    let mut bytes = vec![0; chunks * 1000 - 10];
    fastrand::Rng::with_seed(9).fill(&mut bytes);
    bytes
}

fn manifest(chunks: usize) -> Manifest {
    Manifest::from_reader("menu", "1", CHUNK_SIZE, data(chunks).as_slice()).unwrap()
}

fn peer(i: usize, region: &str) -> Peer {
    Peer {
        vm: format!("vm-{i}").into(),
        addr: ([127, 0, 0, 1], 1).into(),
        region: region.into(),
    }
}

/// Agents 0 to n - 1 in three regions; the origin is in `fife`.
fn agents(n: usize) -> Vec<Peer> {
    (0..n)
        .map(|i| peer(i, ["fife", "lothian", "highland"][i % 3]))
        .collect()
}

fn sources(agents: &[Peer], own: usize) -> Sources {
    Sources::new(agents[own].clone(), "fife".into(), agents.to_vec())
}

fn planner(m: &Manifest, agents: &[Peer], own: usize) -> Planner {
    Planner::new(m, sources(agents, own), |_| false)
}

fn fetch(step: Step) -> Fetch {
    match step {
        Step::Fetch(fetch) => fetch,
        other => panic!("expected a fetch, not {other:?}"),
    }
}

#[test]
fn a_manifest_with_another_digest_is_rejected() {
    let m = manifest(5);
    let bytes = m.to_bytes();
    assert_eq!(Manifest::verify(&bytes, m.digest()).unwrap(), m);

    let mut wrong = bytes.clone();
    wrong[20] ^= 1;
    let error = Manifest::verify(&wrong, m.digest()).unwrap_err();
    assert!(matches!(error, WeightsError::WrongDigest { .. }));
}

#[test]
fn a_manifest_without_its_last_chunk_is_rejected() {
    let mut m = manifest(5);
    m.chunks.pop();

    let error = Manifest::verify(&m.to_bytes(), m.digest()).unwrap_err();

    assert!(error.to_string().contains("4 chunks"), "{error}");
}

#[test]
fn chunk_ranges_cover_the_weights() {
    let m = manifest(3);

    assert_eq!(m.chunk_range(0), 0..1000);
    assert_eq!(m.chunk_range(2), 2000..2990);
}

#[test]
fn the_cache_rejects_wrong_digests_and_chunks_beyond_its_capacity() {
    let mut cache = ChunkCache::new(1500);
    let (good, other) = (vec![1; 1000], vec![2; 1000]);
    let digest = Digest::of(&good);

    assert!(matches!(
        cache.insert_verified(digest, other.clone()),
        Err(WeightsError::WrongDigest { .. })
    ));
    assert!(cache.get(&digest).is_none());
    cache.insert_verified(digest, good).unwrap();
    assert!(matches!(
        cache.insert_verified(Digest::of(&other), other),
        Err(WeightsError::CacheFull { .. })
    ));
    cache.retain(|_| false);
    assert_eq!(cache.used_bytes(), 0);
}

#[test]
fn exactly_one_agent_fetches_each_chunk_from_the_origin() {
    let m = manifest(40);
    let agents = agents(30);

    for digest in &m.chunks {
        let fetching = (0..30)
            .filter(|&i| sources(&agents, i).preferred(digest)[0] == Source::Origin)
            .count();
        assert_eq!(fetching, 1);
    }
}

#[test]
fn each_chunk_is_fetched_once_into_each_other_region() {
    let m = manifest(40);
    let agents = agents(30);

    for digest in &m.chunks {
        let mut fetched_into: HashMap<&str, usize> = HashMap::new();
        for (i, own) in agents.iter().enumerate() {
            if let Source::Peer(p) = &sources(&agents, i).preferred(digest)[0]
                && p.region != own.region
            {
                *fetched_into.entry(&own.region).or_default() += 1;
            }
        }
        assert_eq!(
            fetched_into,
            HashMap::from([("lothian", 1), ("highland", 1)])
        );
    }
}

#[test]
fn owned_chunks_are_fetched_first() {
    let m = manifest(60);
    let agents = agents(9);
    let owned = m
        .chunks
        .iter()
        .filter(|d| sources(&agents, 0).is_owner(d))
        .count();
    let mut planner = planner(&m, &agents, 0);

    let first: Vec<Fetch> = (0..owned)
        .map(|_| fetch(planner.next_step(Duration::ZERO)))
        .collect();

    assert!(owned > 0);
    assert!(
        first
            .iter()
            .all(|f| sources(&agents, 0).is_owner(&f.digest))
    );
}

#[test]
fn the_next_source_is_tried_when_an_owner_fails() {
    let m = manifest(1);
    let agents = agents(9);
    let last = (0..9)
        .step_by(3)
        .find(|&i| sources(&agents, i).preferred(&m.chunks[0]).len() == 3)
        .unwrap();
    let mut planner = planner(&m, &agents, last);
    let order = sources(&agents, last).preferred(&m.chunks[0]);

    let first = fetch(planner.next_step(Duration::ZERO));
    planner.record_failure(Duration::ZERO, &first, FetchError::Unreachable);
    let second = fetch(planner.next_step(Duration::ZERO));
    planner.record_failure(Duration::ZERO, &second, FetchError::Corrupt);
    let third = fetch(planner.next_step(Duration::ZERO));

    assert_eq!(
        [first.source, second.source, third.source].as_slice(),
        order
    );
    assert_eq!(order[2], Source::Origin);
}

#[test]
fn the_origin_is_tried_when_an_owner_never_has_the_chunk() {
    let m = manifest(1);
    let agents = agents(3);
    let mut planner = planner(&m, &agents, 1);
    let mut now = Duration::ZERO;

    let mut refused = Vec::new();
    while refused.len() < 200 {
        match planner.next_step(now) {
            Step::Fetch(f) if f.source == Source::Origin => return,
            Step::Fetch(f) => {
                refused.push(f.source.clone());
                planner.record_failure(now, &f, FetchError::NotAvailable);
            }
            Step::Wait(until) => now = until,
            Step::Complete => panic!("nothing was fetched"),
        }
    }
    panic!("the origin was not tried: {refused:?}");
}

/// After random failures every chunk is fetched in the end, and never by two fetches
/// at once.
#[test]
fn a_download_completes_after_random_failures() {
    check_seeds(300, |u| {
        let m = manifest(12);
        let mut planner = planner(&m, &agents(6), u.int_in_range(0..=5)?);
        let mut now = Duration::ZERO;
        let mut in_flight: Vec<Fetch> = Vec::new();
        for _ in 0..20_000 {
            match planner.next_step(now) {
                Step::Complete => return Ok(()),
                Step::Fetch(f) => {
                    assert!(in_flight.iter().all(|o| o.index != f.index));
                    in_flight.push(f);
                }
                Step::Wait(until) if in_flight.is_empty() => now = until,
                Step::Wait(_) => {
                    let f = in_flight.swap_remove(u.choose_index(in_flight.len())?);
                    // No more failures once the random bytes of this case are used up.
                    let outcome = match u.is_empty() {
                        true => 3,
                        false => u.int_in_range(0..=5)?,
                    };
                    match outcome {
                        0 => planner.record_failure(now, &f, FetchError::Unreachable),
                        1 => planner.record_failure(now, &f, FetchError::NotAvailable),
                        2 => planner.record_failure(now, &f, FetchError::Corrupt),
                        _ => planner.record_success(f.index),
                    }
                }
            }
        }
        panic!("the download did not complete");
    });
}
