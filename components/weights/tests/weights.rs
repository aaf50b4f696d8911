//! Manifests, the chunk store and the planner.

use std::collections::HashMap;
use std::time::Duration;

use config::Digest;
use testkit::check_seeds;
use weights::{
    ChunkCache, Fetch, FetchError, Manifest, Peer, Planner, Source, Sources, Step, WeightsError,
};

const CHUNK: u64 = 1000;

fn data(chunks: usize) -> Vec<u8> {
    let mut bytes = vec![0; chunks * 1000 - 10];
    fastrand::Rng::with_seed(9).fill(&mut bytes);
    bytes
}

fn manifest(chunks: usize) -> Manifest {
    Manifest::from_reader("menu", "1", CHUNK, data(chunks).as_slice()).unwrap()
}

fn peer(i: usize, region: &str) -> Peer {
    Peer {
        vm: format!("vm-{i}").into(),
        addr: ([127, 0, 0, 1], 1).into(),
        region: region.into(),
    }
}

/// Members 0..n, spread over three regions; the origin is in `fife`.
fn group(n: usize) -> Vec<Peer> {
    (0..n)
        .map(|i| peer(i, ["fife", "lothian", "highland"][i % 3]))
        .collect()
}

fn sources(group: &[Peer], own: usize) -> Sources {
    Sources::new(group[own].clone(), "fife".into(), group.to_vec())
}

fn planner(m: &Manifest, group: &[Peer], own: usize) -> Planner {
    Planner::new(m, sources(group, own), |_| false)
}

fn fetch(step: Step) -> Fetch {
    match step {
        Step::Fetch(fetch) => fetch,
        other => panic!("expected a fetch, not {other:?}"),
    }
}

#[test]
fn a_manifest_survives_its_own_digest_only() {
    let m = manifest(5);
    let bytes = m.to_bytes();
    assert_eq!(Manifest::verify(&bytes, m.digest()).unwrap(), m);

    let mut wrong = bytes.clone();
    wrong[20] ^= 1;
    let error = Manifest::verify(&wrong, m.digest()).unwrap_err();
    assert!(matches!(error, WeightsError::WrongDigest { .. }));
}

#[test]
fn a_manifest_that_contradicts_itself_is_refused() {
    let mut m = manifest(5);
    m.chunks.pop();

    let error = Manifest::verify(&m.to_bytes(), m.digest()).unwrap_err();

    assert!(error.to_string().contains("4 chunks"), "{error}");
}

#[test]
fn ranges_cover_the_weights() {
    let m = manifest(3);

    assert_eq!(m.chunk_range(0), 0..1000);
    assert_eq!(m.chunk_range(2), 2000..2990);
}

#[test]
fn only_verified_chunks_are_kept_and_memory_is_bounded() {
    let mut store = ChunkCache::new(1500);
    let (good, other) = (vec![1; 1000], vec![2; 1000]);
    let digest = Digest::of(&good);

    assert!(matches!(
        store.insert_verified(digest, other.clone()),
        Err(WeightsError::WrongDigest { .. })
    ));
    assert!(store.get(&digest).is_none());
    store.insert_verified(digest, good).unwrap();
    assert!(matches!(
        store.insert_verified(Digest::of(&other), other),
        Err(WeightsError::CacheFull { .. })
    ));
    store.retain(|_| false);
    assert_eq!(store.used_bytes(), 0);
}

#[test]
fn exactly_one_member_draws_each_chunk_from_the_origin() {
    let m = manifest(40);
    let group = group(30);

    for digest in &m.chunks {
        let drawing = (0..30)
            .filter(|&i| sources(&group, i).preferred(digest)[0] == Source::Origin)
            .count();
        assert_eq!(drawing, 1);
    }
}

#[test]
fn each_chunk_crosses_into_each_region_once() {
    let m = manifest(40);
    let group = group(30);

    for digest in &m.chunks {
        let mut crossing: HashMap<&str, usize> = HashMap::new();
        for (i, own) in group.iter().enumerate() {
            if let Source::Peer(p) = &sources(&group, i).preferred(digest)[0]
                && p.region != own.region
            {
                *crossing.entry(&own.region).or_default() += 1;
            }
        }
        assert_eq!(crossing, HashMap::from([("lothian", 1), ("highland", 1)]));
    }
}

#[test]
fn own_homes_come_first() {
    let m = manifest(60);
    let group = group(9);
    let homes = m
        .chunks
        .iter()
        .filter(|d| sources(&group, 0).is_owner(d))
        .count();
    let mut planner = planner(&m, &group, 0);

    let first: Vec<Fetch> = (0..homes)
        .map(|_| fetch(planner.next_step(Duration::ZERO)))
        .collect();

    assert!(homes > 0);
    assert!(first.iter().all(|f| sources(&group, 0).is_owner(&f.digest)));
}

#[test]
fn the_next_in_rank_takes_over_from_a_dead_home() {
    let m = manifest(1);
    let group = group(9);
    let last = (0..9)
        .step_by(3)
        .find(|&i| sources(&group, i).preferred(&m.chunks[0]).len() == 3)
        .unwrap();
    let mut planner = planner(&m, &group, last);
    let order = sources(&group, last).preferred(&m.chunks[0]);

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
fn a_home_that_never_has_the_chunk_is_passed_over() {
    let m = manifest(1);
    let group = group(3);
    let mut planner = planner(&m, &group, 1);
    let mut now = Duration::ZERO;

    let mut seen = Vec::new();
    while seen.len() < 200 {
        match planner.next_step(now) {
            Step::Fetch(f) if f.source == Source::Origin => return,
            Step::Fetch(f) => {
                seen.push(f.source.clone());
                planner.record_failure(now, &f, FetchError::NotAvailable);
            }
            Step::Wait(until) => now = until,
            Step::Complete => panic!("nothing was fetched"),
        }
    }
    panic!("{seen:?}");
}

/// Whatever fails for a while, every chunk is fetched in the end, and never twice at a time.
#[test]
fn a_transfer_always_completes() {
    check_seeds(300, |u| {
        let m = manifest(12);
        let mut planner = planner(&m, &group(6), u.int_in_range(0..=5)?);
        let mut now = Duration::ZERO;
        let mut flying: Vec<Fetch> = Vec::new();
        for _ in 0..20_000 {
            match planner.next_step(now) {
                Step::Complete => return Ok(()),
                Step::Fetch(f) => {
                    assert!(flying.iter().all(|o| o.index != f.index));
                    flying.push(f);
                }
                Step::Wait(until) if flying.is_empty() => now = until,
                Step::Wait(_) => {
                    let f = flying.swap_remove(u.choose_index(flying.len())?);
                    // Faults end when the case's randomness is used up.
                    let fate = match u.is_empty() {
                        true => 3,
                        false => u.int_in_range(0..=5)?,
                    };
                    match fate {
                        0 => planner.record_failure(now, &f, FetchError::Unreachable),
                        1 => planner.record_failure(now, &f, FetchError::NotAvailable),
                        2 => planner.record_failure(now, &f, FetchError::Corrupt),
                        _ => planner.record_success(f.index),
                    }
                }
            }
        }
        panic!("the transfer did not complete");
    });
}
