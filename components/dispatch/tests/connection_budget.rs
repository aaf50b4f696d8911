//! Division of an upstream's connections over entries.

use arbtest::arbtest;
use dispatch::{ConnectionBudget, Ownership};

/// Idle connections of all entries to an upstream, one of which may own it.
fn idle_of_all(budget: ConnectionBudget, slots: u32, entries: usize, owned: bool) -> usize {
    let share = budget.idle(Ownership::Foreign, slots);
    match owned {
        true => budget.idle(Ownership::Own, slots) + (entries - 1) * share,
        false => entries * budget.idle(Ownership::Shared, slots),
    }
}

#[test]
fn idle_connections_and_requests_of_all_entries_fit_the_limit() {
    arbtest(|u| {
        let limit: usize = u.int_in_range(1..=1000)?;
        let entries: usize = u.int_in_range(1..=1000)?;
        let slots: u32 = u.int_in_range(0..=100)?;
        let budget = ConnectionBudget::new(limit, Some(entries)).unwrap();

        for owned in [false, true] {
            let idle = idle_of_all(budget, slots, entries, owned);

            let requests = budget.requests(slots) as usize;
            assert!(idle + requests <= limit);
            assert!(requests > 0 || slots == 0);
        }
        Ok(())
    });
}

/// Beside the idle connections of all entries: as many that lost entries left behind,
/// those in use, and as many that are closing.
#[test]
fn idle_connections_fit_beside_those_of_lost_entries_and_closing_ones() {
    arbtest(|u| {
        let slots: u32 = u.int_in_range(1..=100)?;
        let limit: usize = u.int_in_range(2 * slots as usize..=1000)?;
        let entries: usize = u.int_in_range(1..=400)?;
        let budget = ConnectionBudget::new(limit, Some(entries)).unwrap();

        let idle = idle_of_all(budget, slots, entries, true);

        assert!(2 * idle + 2 * slots as usize <= limit);
        Ok(())
    });
}

#[test]
fn only_the_owner_keeps_connections_when_there_is_not_one_for_each_entry() {
    let budget = ConnectionBudget::new(69, Some(390)).unwrap();

    assert_eq!(budget.idle(Ownership::Foreign, 6), 0);
    assert_eq!(budget.idle(Ownership::Shared, 6), 0);
    assert_eq!(budget.idle(Ownership::Own, 6), 23);
}

#[test]
fn service_without_a_limit_has_no_budget() {
    assert_eq!(ConnectionBudget::new(0, Some(3)), None);
}

#[test]
fn nothing_is_kept_idle_while_the_entries_are_not_known() {
    let budget = ConnectionBudget::new(69, None).unwrap();

    assert_eq!(budget.idle(Ownership::Own, 6), 0);
    assert_eq!(budget.idle(Ownership::Shared, 6), 0);
}
