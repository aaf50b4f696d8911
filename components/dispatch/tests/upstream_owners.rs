//! Distribution of upstreams over entries.

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

fn count(owners: &UpstreamOwners, entry: &str, tags: std::ops::RangeInclusive<u32>) -> usize {
    let own = |tag: &u32| owners.ownership(entry, *tag) == Ownership::Own;
    tags.filter(own).count()
}

#[test]
fn upstream_is_owned_by_one_entry_of_its_region() {
    let entries = entries(&["n", "n", "s"]);
    let upstreams = upstreams(&["n", "n", "n", "n", "s", "s"]);

    let owners = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&owners, "e0", 1..=4), 2);
    assert_eq!(count(&owners, "e1", 1..=4), 2);
    assert_eq!(count(&owners, "e2", 5..=6), 2);
    assert_eq!(count(&owners, "e2", 1..=4), 0);
}

#[test]
fn owners_do_not_depend_on_the_order_of_input() {
    let (mut entries, mut upstreams) = (entries(&["n", "s", "n"]), upstreams(&["n", "s", "n"]));
    let owners = UpstreamOwners::new(&entries, &upstreams);
    entries.reverse();
    upstreams.reverse();

    let other = UpstreamOwners::new(&entries, &upstreams);

    for entry in ["e0", "e1", "e2"] {
        for tag in 1..=3 {
            assert_eq!(owners.ownership(entry, tag), other.ownership(entry, tag));
        }
    }
}

/// A failure domain is out of service, and its entries still receive requests.
#[test]
fn entry_without_upstreams_in_its_region_owns_some_elsewhere() {
    let entries = entries(&["n", "s"]);
    let upstreams = upstreams(&["n", "n", "n", "n"]);

    let owners = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&owners, "e1", 1..=4), 2);
}

#[test]
fn upstreams_without_an_entry_in_their_region_go_to_all_entries() {
    let entries = entries(&["n", "n"]);
    let upstreams = upstreams(&["n", "s", "s"]);

    let owners = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&owners, "e0", 2..=3), 1);
    assert_eq!(count(&owners, "e1", 2..=3), 1);
}

#[test]
fn upstream_without_an_owner_is_shared() {
    let owners = UpstreamOwners::default();

    assert_eq!(owners.ownership("e0", 7), Ownership::Shared);
}

/// The balancer sends three times as many requests to one entry.
#[test]
fn entry_with_more_demand_owns_more_upstreams() {
    let mut entries = entries(&["n", "n"]);
    entries[1].demand = 30;
    let upstreams = upstreams(&["n"; 8]);

    let owners = UpstreamOwners::new(&entries, &upstreams);

    assert_eq!(count(&owners, "e0", 1..=8), 2);
    assert_eq!(count(&owners, "e1", 1..=8), 6);
}

#[test]
fn announced_demand_ignores_small_changes() {
    let mut demand = Demand::default();
    let at = |ms| Duration::from_secs(100) + Duration::from_millis(ms);
    (0..800).for_each(|i| demand.record_request(at(i * 10)));

    let steady = demand.announced(at(8000));
    (0..40).for_each(|i| demand.record_request(at(8000 + i * 9)));
    let small_change = demand.announced(at(8360));
    let idle = demand.announced(at(14_000));

    assert!((90..=101).contains(&steady), "{steady}");
    assert_eq!(small_change, steady);
    assert!(idle < 10, "{idle}");
}

#[test]
fn entries_have_different_turns_at_an_upstream_that_opens() {
    let entries = entries(&["n", "n", "n", "n", "s"]);
    let upstreams = upstreams(&["n", "n", "n", "n", "s"]);
    let owners = UpstreamOwners::new(&entries, &upstreams);

    for tag in 1..=4 {
        let turn = |e: usize| owners.turn(&format!("e{e}"), tag, "n");
        let mut turns: Vec<u32> = (0..4).map(turn).collect();
        let first = turns.iter().position(|t| *t == 0).unwrap();
        turns.sort_unstable();

        assert_eq!(turns, [0, 1, 2, 3]);
        assert_eq!(count(&owners, &format!("e{first}"), tag..=tag), 1);
        assert_eq!(turn(4), u32::MAX);
    }
    assert_eq!(UpstreamOwners::default().turn("e0", 1, "n"), 0);
}
