//! Choice of an upstream.

use std::time::Duration;

use routing::{AffinityTable, Candidate, Choice, Criteria, Distance, Prefix, choose};
use testkit::check_seeds;

const NOW: Duration = Duration::from_secs(100);

fn candidate(key: u64) -> Candidate {
    Candidate {
        key,
        limit: 8,
        service_time: Duration::from_millis(100),
        open: true,
        ..Candidate::default()
    }
}

fn fleet(size: u64) -> Vec<Candidate> {
    (0..size).map(candidate).collect()
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(1)
}

fn pick(candidates: &[Candidate], criteria: Criteria<'_>) -> Choice {
    choose(NOW, candidates, criteria, &mut rng())
}

fn affinity(fleet: &[Candidate]) -> AffinityTable {
    let keys: Vec<u64> = fleet.iter().map(|c| c.key).collect();
    AffinityTable::new(&keys)
}

fn prefix(hash: u64, affinity: &AffinityTable) -> Option<Prefix<'_>> {
    Some(Prefix { hash, affinity })
}

/// Shares of 4,000 choices.
fn shares(candidates: &[Candidate]) -> Vec<usize> {
    let mut counts = vec![0; candidates.len()];
    let mut rng = rng();
    for _ in 0..4000 {
        if let Choice::Upstream(i) = choose(NOW, candidates, Criteria::default(), &mut rng) {
            counts[i] += 1;
        }
    }
    counts
}

#[test]
fn no_upstream_or_only_closed_ones() {
    assert_eq!(pick(&[], Criteria::default()), Choice::Closed);

    let mut closed = fleet(3);
    closed.iter_mut().for_each(|c| c.open = false);
    assert_eq!(pick(&closed, Criteria::default()), Choice::Closed);
}

#[test]
fn full_upstreams_are_not_chosen() {
    let mut full = fleet(3);
    full.iter_mut().for_each(|c| c.outstanding = 8);
    assert_eq!(pick(&full, Criteria::default()), Choice::Full);

    full[1].outstanding = 7;
    assert_eq!(pick(&full, Criteria::default()), Choice::Upstream(1));
}

#[test]
fn the_loads_of_other_entries_count() {
    let mut fleet = fleet(2);
    fleet[0].others_outstanding = 8;

    assert_eq!(pick(&fleet, Criteria::default()), Choice::Upstream(1));
}

#[test]
fn a_loaded_or_slow_upstream_gets_less() {
    let mut fleet = fleet(4);
    fleet[0].others_outstanding = 6;
    fleet[1].service_time = Duration::from_millis(400);

    let shares = shares(&fleet);

    assert!(
        shares[0] < shares[2] / 4 && shares[1] < shares[2] / 4,
        "{shares:?}"
    );
}

#[test]
fn near_upstreams_come_first_while_their_load_allows() {
    let mut fleet = fleet(4);
    fleet[3].distance = Distance::OtherRegion;
    let near = shares(&fleet);
    assert!(near[3] < near[0] / 10, "{near:?}");

    for c in &mut fleet[..3] {
        c.outstanding = 6;
    }
    let loaded = shares(&fleet);
    assert!(loaded[3] > loaded[0], "{loaded:?}");
}

#[test]
fn avoided_upstreams_recover_with_time() {
    let mut fleet = fleet(1);
    fleet[0].avoid_until = NOW + Duration::from_millis(1);
    assert_eq!(pick(&fleet, Criteria::default()), Choice::Full);

    fleet[0].avoid_until = NOW;
    assert_eq!(pick(&fleet, Criteria::default()), Choice::Upstream(0));
}

#[test]
fn a_prefix_keeps_its_upstream_until_that_is_loaded() {
    let mut fleet = fleet(20);
    let affinity = affinity(&fleet);
    let criteria = Criteria {
        prefix: prefix(0x1234_5678_9abc, &affinity),
        tried: &[],
    };
    let Choice::Upstream(home) = pick(&fleet, criteria) else {
        panic!("all are open");
    };
    for _ in 0..10 {
        assert_eq!(pick(&fleet, criteria), Choice::Upstream(home));
    }

    fleet[home].outstanding = 7;
    assert_ne!(pick(&fleet, criteria), Choice::Upstream(home));
}

#[test]
fn an_upstream_that_leaves_moves_only_its_own_prefixes() {
    let keys: Vec<u64> = (0..20)
        .map(|i| fleet::id_hash(&format!("vm-{i}")))
        .collect();
    let fewer: Vec<u64> = keys[..19].to_vec();
    let (before, after) = (AffinityTable::new(&keys), AffinityTable::new(&fewer));

    for hash in 0..256 {
        let home = before.preferred(hash)[0];
        if home != 19 {
            assert_eq!(after.preferred(hash)[0], home, "prefix {hash}");
        }
    }
}

#[test]
fn what_was_tried_is_not_tried_again() {
    let fleet = fleet(3);
    let affinity = affinity(&fleet);
    let criteria = Criteria {
        prefix: prefix(7, &affinity),
        tried: &[0, 2],
    };

    assert_eq!(pick(&fleet, criteria), Choice::Upstream(1));
}

/// A choice is never closed, full, avoided or tried; and none is missed among a subset.
#[test]
fn choices_are_always_allowed() {
    check_seeds(2000, |u| {
        let mut fleet = fleet(u.int_in_range(1..=32)?);
        for c in &mut fleet {
            c.open = u.ratio(1, 2)?;
            c.outstanding = u.int_in_range(0..=9)?;
            c.others_outstanding = u.int_in_range(0..=3)?;
            c.avoid_until = NOW + Duration::from_secs(u64::from(u.ratio(1, 4)?));
        }
        let tried = [u.int_in_range(0..=31)?];
        let affinity = affinity(&fleet);
        let criteria = Criteria {
            prefix: prefix(u.arbitrary()?, &affinity),
            tried: &tried,
        };
        let allowed = |c: &Candidate| c.is_available(NOW) && !tried.contains(&c.key);

        match pick(&fleet, criteria) {
            Choice::Upstream(i) => assert!(allowed(&fleet[i])),
            Choice::Full | Choice::Closed => assert!(!fleet.iter().any(allowed)),
        }
        Ok(())
    });
}
