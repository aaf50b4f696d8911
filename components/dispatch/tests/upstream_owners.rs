//! Which entry fills which upstream.

use std::time::Duration;

use dispatch::{Demand, EntryDemand, Ownership, UpstreamOwners};

fn entries(regions: &[&str]) -> Vec<EntryDemand> {
    let entry = |(i, r): (usize, &&str)| EntryDemand {
        vm: format!("e{i}").into(),
        region: (*r).into(),
        demand: 10,
    };
    regions.iter().enumerate().map(entry).collect()
}

fn upstreams(regions: &[&str]) -> Vec<(u32, compact_str::CompactString)> {
    (1..).zip(regions.iter().map(|r| (*r).into())).collect()
}

fn count(shares: &UpstreamOwners, entry: &str, tags: std::ops::RangeInclusive<u32>) -> usize {
    let own = |tag: &u32| shares.ownership(entry, *tag) == Ownership::Own;
    tags.filter(own).count()
}

#[test]
fn each_upstream_has_one_entry_of_its_region() {
    let entries = entries(&["n", "n", "s"]);
    let upstreams = upstreams(&["n", "n", "n", "n", "s", "s"]);

    let shares = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&shares, "e0", 1..=4), 2);
    assert_eq!(count(&shares, "e1", 1..=4), 2);
    assert_eq!(count(&shares, "e2", 5..=6), 2);
    assert_eq!(count(&shares, "e2", 1..=4), 0);
}

#[test]
fn the_order_of_what_is_known_does_not_matter() {
    let (mut entries, mut upstreams) = (entries(&["n", "s", "n"]), upstreams(&["n", "s", "n"]));
    let shares = UpstreamOwners::new(&entries, &upstreams);
    entries.reverse();
    upstreams.reverse();

    let other = UpstreamOwners::new(&entries, &upstreams);

    for entry in ["e0", "e1", "e2"] {
        for tag in 1..=3 {
            assert_eq!(shares.ownership(entry, tag), other.ownership(entry, tag));
        }
    }
}

/// Load pattern: a failure domain is out of service and its entries still get
/// callers.
#[test]
fn entries_without_upstreams_of_their_own_share_those_of_others() {
    let entries = entries(&["n", "s"]);
    let upstreams = upstreams(&["n", "n", "n", "n"]);

    let shares = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&shares, "e1", 1..=4), 2);
}

#[test]
fn upstreams_without_an_entry_near_are_shared_by_all() {
    let entries = entries(&["n", "n"]);
    let upstreams = upstreams(&["n", "s", "s"]);

    let shares = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&shares, "e0", 2..=3), 1);
    assert_eq!(count(&shares, "e1", 2..=3), 1);
}

#[test]
fn an_upstream_that_nobody_has_been_given_is_filled_by_all() {
    let shares = UpstreamOwners::default();

    assert_eq!(shares.ownership("e0", 7), Ownership::Shared);
}

/// Load pattern: the balancer gives one entry three times as many callers.
#[test]
fn an_entry_with_more_callers_gets_more() {
    let mut entries = entries(&["n", "n"]);
    entries[1].demand = 30;
    let upstreams = upstreams(&["n"; 8]);

    let shares = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&shares, "e0", 1..=8), 2);
    assert_eq!(count(&shares, "e1", 1..=8), 6);
}

#[test]
fn the_demand_that_is_told_follows_large_changes_only() {
    let mut demand = Demand::default();
    let at = |ms| Duration::from_secs(100) + Duration::from_millis(ms);
    (0..800).for_each(|i| demand.record_request(at(i * 10)));

    let steady = demand.announced(at(8000));
    (0..40).for_each(|i| demand.record_request(at(8000 + i * 9)));
    let little = demand.announced(at(8360));
    let idle = demand.announced(at(14_000));

    assert!((90..=101).contains(&steady), "{steady}");
    assert_eq!(little, steady);
    assert!(idle < 10, "{idle}");
}
