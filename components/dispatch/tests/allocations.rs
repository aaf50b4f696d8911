//! A choice allocates nothing.

mod fixture;

use std::alloc::System;

use dispatch::Choice;
use fixture::{fleet, start, wanted};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn a_choice_among_1100_upstreams_allocates_nothing() {
    let seats = fleet(1100);
    let wanted = wanted(start());
    // The generator of a thread is set up by its first use.
    fastrand::u64(..);
    let region = Region::new(ALLOCATOR);

    for _ in 0..1000 {
        let choice = seats.choose(start(), &wanted, |_| false);
        assert!(matches!(choice, Choice::Send(_)));
    }

    assert_eq!(region.change().allocations, 0);
}
