//! Budgets for the requests of all entries to one upstream within a window.

use dispatch::WindowBudget;

const UPSTREAMS: u64 = 20;

fn shares(total: f64, count: usize, upstream: u64) -> Vec<u32> {
    let entries: Vec<u64> = (0..count)
        .map(|i| fleet::id_hash(&format!("e{i}")))
        .collect();
    let share =
        |own: &u64| WindowBudget::new(total, *own, entries.clone(), Some(count)).share(upstream);
    entries.iter().map(share).collect()
}

/// A cold upstream could get a request a second from each of several hundred entries,
/// since each rounded its share up to one.
#[test]
fn shares_of_all_entries_sum_up_to_the_budget() {
    for count in [1, 3, 12, 390] {
        for total in [0.5, 5.0, 8.0, 53.9] {
            for upstream in 0..UPSTREAMS {
                let sum: u32 = shares(total, count, upstream).iter().sum();
                assert_eq!(f64::from(sum), total.floor(), "{count} entries");
            }
        }
    }
}

#[test]
fn entry_that_does_not_know_all_others_takes_no_more_than_its_share() {
    let own = fleet::id_hash("e0");
    for upstream in 0..UPSTREAMS {
        let alone = WindowBudget::new(8.0, own, vec![own], Some(3)).share(upstream);
        let unread = WindowBudget::new(8.0, own, vec![own], None).share(upstream);

        assert_eq!((alone, unread), (2, 0));
    }
}

#[test]
fn different_upstreams_go_to_different_entries() {
    let count = 100;
    let mut total = vec![0; count];
    for upstream in 0..UPSTREAMS {
        let shares = shares(8.0, count, upstream);
        total.iter_mut().zip(shares).for_each(|(t, s)| *t += s);
    }

    assert!(total.iter().filter(|t| **t > 0).count() > 50);
}
