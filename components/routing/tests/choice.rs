//! Choice of an upstream by load, distance, prefix and failures.

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

fn choose_now(candidates: &[Candidate], criteria: Criteria<'_>) -> Choice {
    choose(NOW, candidates, criteria, &mut rng())
}

fn affinity(fleet: &[Candidate]) -> AffinityTable {
    let keys: Vec<u64> = fleet.iter().map(|c| c.key).collect();
    AffinityTable::new(&keys)
}

fn prefix(hash: u64, affinity: &AffinityTable) -> Option<Prefix<'_>> {
    Some(Prefix { hash, affinity })
}

/// How often each candidate is chosen in 4,000 choices.
fn choice_counts(candidates: &[Candidate]) -> Vec<usize> {
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
fn a_choice_without_open_upstreams_is_closed() {
    assert_eq!(choose_now(&[], Criteria::default()), Choice::Closed);

    let mut closed = fleet(3);
    closed.iter_mut().for_each(|c| c.open = false);
    assert_eq!(choose_now(&closed, Criteria::default()), Choice::Closed);
}

#[test]
fn full_upstreams_are_not_chosen() {
    let mut full = fleet(3);
    full.iter_mut().for_each(|c| c.outstanding = 8);
    assert_eq!(choose_now(&full, Criteria::default()), Choice::Full);

    full[1].outstanding = 7;
    assert_eq!(choose_now(&full, Criteria::default()), Choice::Upstream(1));
}

#[test]
fn requests_of_other_entries_count_towards_the_limit() {
    let mut fleet = fleet(2);
    fleet[0].others_outstanding = 8;

    assert_eq!(choose_now(&fleet, Criteria::default()), Choice::Upstream(1));
}

#[test]
fn a_loaded_or_slow_upstream_is_chosen_less_often() {
    let mut fleet = fleet(4);
    fleet[0].others_outstanding = 6;
    fleet[1].service_time = Duration::from_millis(400);

    let counts = choice_counts(&fleet);

    assert!(
        counts[0] < counts[2] / 4 && counts[1] < counts[2] / 4,
        "{counts:?}"
    );
}

#[test]
fn near_upstreams_are_preferred_until_they_are_loaded() {
    let mut fleet = fleet(4);
    fleet[3].distance = Distance::OtherRegion;
    let near = choice_counts(&fleet);
    assert!(near[3] < near[0] / 10, "{near:?}");

    for c in &mut fleet[..3] {
        c.outstanding = 6;
    }
    let loaded = choice_counts(&fleet);
    assert!(loaded[3] > loaded[0], "{loaded:?}");
}

#[test]
fn an_avoided_upstream_is_chosen_again_after_the_backoff() {
    let mut fleet = fleet(1);
    fleet[0].avoid_until = NOW + Duration::from_millis(1);
    assert_eq!(choose_now(&fleet, Criteria::default()), Choice::Full);

    fleet[0].avoid_until = NOW;
    assert_eq!(choose_now(&fleet, Criteria::default()), Choice::Upstream(0));
}

#[test]
fn a_prefix_keeps_its_preferred_upstream_until_it_is_loaded() {
    let mut fleet = fleet(20);
    let affinity = affinity(&fleet);
    let criteria = Criteria {
        prefix: prefix(0x1234_5678_9abc, &affinity),
        tried: &[],
    };
    let Choice::Upstream(preferred) = choose_now(&fleet, criteria) else {
        panic!("no upstream is chosen");
    };
    for _ in 0..10 {
        assert_eq!(choose_now(&fleet, criteria), Choice::Upstream(preferred));
    }

    fleet[preferred].outstanding = 7;
    assert_ne!(choose_now(&fleet, criteria), Choice::Upstream(preferred));
}

#[test]
fn a_leaving_upstream_moves_only_prefixes_that_prefer_it() {
    let keys: Vec<u64> = (0..20)
        .map(|i| fleet::id_hash(&format!("vm-{i}")))
        .collect();
    let fewer: Vec<u64> = keys[..19].to_vec();
    let (before, after) = (AffinityTable::new(&keys), AffinityTable::new(&fewer));

    for hash in 0..256 {
        let preferred = before.preferred(hash)[0];
        if preferred != 19 {
            assert_eq!(after.preferred(hash)[0], preferred, "prefix {hash}");
        }
    }
}

#[test]
fn an_upstream_that_was_tried_is_excluded() {
    let fleet = fleet(3);
    let affinity = affinity(&fleet);
    let criteria = Criteria {
        prefix: prefix(7, &affinity),
        tried: &[0, 2],
    };

    assert_eq!(choose_now(&fleet, criteria), Choice::Upstream(1));
}

/// No chosen upstream is closed, full, avoided or tried, and among up to 32
/// candidates an eligible one is always found.
#[test]
fn every_choice_is_eligible() {
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
        let eligible = |c: &Candidate| c.is_available(NOW) && !tried.contains(&c.key);

        match choose_now(&fleet, criteria) {
            Choice::Upstream(i) => assert!(eligible(&fleet[i])),
            Choice::Full | Choice::Closed => assert!(!fleet.iter().any(eligible)),
        }
        Ok(())
    });
}
