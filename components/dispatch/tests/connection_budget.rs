//! Division of an upstream's connections over entries.

use arbtest::arbtest;
use dispatch::{ConnectionBudget, Ownership};

/// Idle connections of all entries to an upstream, one of which may own it.
fn idle_of_all(budget: ConnectionBudget, entries: usize, owned: bool) -> usize {
    let share = budget.idle(Ownership::Foreign);
    match owned {
        true => budget.idle(Ownership::Own) + (entries - 1) * share,
        false => entries * budget.idle(Ownership::Shared),
    }
}

#[test]
fn idle_connections_and_requests_of_all_entries_fit_the_limit() {
    arbtest(|u| {
        let limit: usize = u.int_in_range(1..=1000)?;
        let entries: usize = u.int_in_range(1..=1000)?;
        let budget = ConnectionBudget::new(limit, entries).unwrap();

        for owned in [false, true] {
            let idle = idle_of_all(budget, entries, owned);

            assert!(idle + budget.requests() <= limit);
            assert!(budget.requests() > 0);
        }
        Ok(())
    });
}

#[test]
fn entries_that_replace_lost_ones_fit_beside_their_connections() {
    let budget = ConnectionBudget::new(69, 16).unwrap();

    let idle = idle_of_all(budget, 16, true);

    assert!(2 * idle + 12 <= 69, "{idle} idle connections");
}

#[test]
fn only_the_owner_keeps_connections_when_there_is_not_one_for_each_entry() {
    let budget = ConnectionBudget::new(69, 390).unwrap();

    assert_eq!(budget.idle(Ownership::Foreign), 0);
    assert_eq!(budget.idle(Ownership::Shared), 0);
    assert_eq!(budget.idle(Ownership::Own), 23);
}

#[test]
fn service_without_a_limit_has_no_budget() {
    assert_eq!(ConnectionBudget::new(0, 3), None);
}
