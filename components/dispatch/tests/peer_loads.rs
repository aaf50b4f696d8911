//! Sums of the loads that other entries announce.

use std::collections::HashMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use dispatch::{PeerLoads, UpstreamLoad};

fn load(requests: u32) -> UpstreamLoad {
    UpstreamLoad {
        requests,
        prefill_tokens: u64::from(requests) * 100,
    }
}

fn entry(number: usize) -> domain::VmId {
    format!("e{number}").as_str().into()
}

/// Loads of an entry with `requests` requests in flight, of 138 upstreams.
fn loads(requests: usize, seed: usize) -> Vec<(u32, UpstreamLoad)> {
    let tag = |i| u32::try_from((seed * 31 + i * 7) % 138).unwrap();
    (0..requests).map(|i| (tag(i), load(1))).collect()
}

#[test]
fn sum_counts_the_latest_notice_of_each_entry() {
    let mut peers = PeerLoads::default();
    peers.replace(&entry(0), vec![(1, load(4)), (2, load(1))]);
    peers.replace(&entry(1), vec![(1, load(2))]);

    let changed = peers.replace(&entry(0), vec![(1, load(3)), (3, load(5))]);

    assert_eq!(changed, [(1, load(5)), (2, load(0)), (3, load(5))]);
    assert_eq!(peers.sum(1), load(5));
}

#[test]
fn loads_of_a_removed_entry_do_not_count() {
    let mut peers = PeerLoads::default();
    peers.replace(&entry(0), vec![(1, load(4))]);
    peers.replace(&entry(1), vec![(1, load(2))]);

    let changed = peers.remove("e0");

    assert_eq!(changed, [(1, load(2))]);
    assert_eq!(peers.remove("e0"), []);
    assert_eq!(peers.sum(1), load(2));
}

/// 53 entries with 20 requests in flight send 850 notices a second; adding up all entries
/// for all of 138 upstreams at each took half of an entry's processor time.
#[test]
fn notice_updates_only_the_upstreams_that_it_changes() {
    let mut peers = PeerLoads::default();
    for number in 0..52 {
        peers.replace(&entry(number), loads(20, number));
    }
    let mut next = loads(20, 7);
    next[0].1 = load(2);

    let repeated = peers.replace(&entry(7), loads(20, 7));
    let changed = peers.replace(&entry(7), next.clone());

    assert_eq!(repeated, []);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].0, next[0].0);
}

/// Notices may name an upstream twice, name none, and come from entries that were removed.
#[test]
fn sums_equal_those_of_all_notices() {
    arbtest(|u: &mut Unstructured| {
        let mut peers = PeerLoads::default();
        let mut known: HashMap<usize, HashMap<u32, UpstreamLoad>> = HashMap::new();
        let mut sums: HashMap<u32, UpstreamLoad> = HashMap::new();
        for _ in 0..u.int_in_range(1..=30)? {
            let number = u.int_in_range(0..=4_usize)?;
            let changed = if u.ratio(1, 6)? {
                known.remove(&number);
                peers.remove(&entry(number))
            } else {
                let mut loads = Vec::new();
                for _ in 0..u.int_in_range(0..=6)? {
                    let tag = u.int_in_range(0..=5)?;
                    loads.push((tag, load(u.int_in_range(0..=9)?)));
                }
                let mut first = HashMap::new();
                let mut ordered = loads.clone();
                ordered.sort();
                ordered.iter().for_each(|(t, l)| {
                    first.entry(*t).or_insert(*l);
                });
                known.insert(number, first);
                peers.replace(&entry(number), loads)
            };
            sums.extend(changed);
        }

        for tag in 0..=5 {
            let loads = known.values().filter_map(|l| l.get(&tag));
            let expected = load(loads.map(|l| l.requests).sum());
            assert_eq!(peers.sum(tag), expected);
            assert_eq!(sums.get(&tag).copied().unwrap_or_default(), expected);
        }
        Ok(())
    });
}
