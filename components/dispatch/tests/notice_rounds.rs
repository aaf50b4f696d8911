//! Rounds of notices to the entries of other regions.

mod fixture;

use dispatch::{NoticeRounds, UpstreamLoad};
use fixture::{ms, start};

/// Interval between two rounds.
const ROUND_MS: u64 = 60;

fn load(requests: u32) -> UpstreamLoad {
    UpstreamLoad {
        requests,
        prefill_tokens: 0,
    }
}

/// 53 entries in five regions, of which each sent its loads to all others in each round:
/// 37,000 datagrams a second between regions, most of them without news for the receiver.
#[test]
fn unchanged_loads_go_to_another_region_every_fourth_round() {
    let mut rounds = NoticeRounds::default();
    let at = |round: u64| start() + ms(round * ROUND_MS);

    let sent = (0..40).filter(|r| rounds.is_due(at(*r), &"south".into(), vec![(1, load(2))]));

    assert_eq!(sent.count(), 10);
}

#[test]
fn changed_load_goes_to_the_region_of_the_upstream_at_once() {
    let mut rounds = NoticeRounds::default();
    rounds.is_due(start(), &"south".into(), vec![(1, load(2)), (2, load(1))]);
    rounds.is_due(start(), &"west".into(), vec![]);

    let reordered = vec![(2, load(1)), (1, load(2))];
    let same = rounds.is_due(start() + ms(ROUND_MS), &"south".into(), reordered);
    let changed = rounds.is_due(start() + ms(ROUND_MS), &"south".into(), vec![(1, load(2))]);
    let elsewhere = rounds.is_due(start() + ms(ROUND_MS), &"west".into(), vec![]);

    assert!(!same);
    assert!(changed);
    assert!(!elsewhere);
}
