//! Allocations of a choice.

mod fixture;

use std::alloc::System;

use dispatch::Choice;
use fixture::{fleet, needs, start};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn choice_among_1100_upstreams_does_not_allocate() {
    let pool = fleet(1100);
    let needs = needs(start());
    // The first use initialises the random generator of the thread.
    fastrand::u64(..);
    let region = Region::new(ALLOCATOR);

    for _ in 0..1000 {
        let choice = pool.choose(start(), &needs, |_| false);
        assert!(matches!(choice, Choice::Send(_)));
    }

    assert_eq!(region.change().allocations, 0);
}
