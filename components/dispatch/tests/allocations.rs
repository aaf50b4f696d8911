//! Allocations of a choice.

mod fixture;

use std::alloc::System;
use std::fs;
use std::time::Duration;

use dispatch::{Choice, UpstreamOwners};
use fixture::{fleet_of, needs, needs_with_part, retaining, start};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Waits until all other threads sleep: the allocator counts for the whole process, and the
/// test harness allocates after it has started the thread of a test.
fn until_alone() {
    let own = fs::read_link("/proc/thread-self").unwrap();
    let is_asleep = |task: fs::DirEntry| {
        let is_own = Some(task.file_name().as_os_str()) == own.file_name();
        let stat = fs::read_to_string(task.path().join("stat")).unwrap();
        is_own || stat.rsplit(") ").next().unwrap().starts_with('S')
    };
    while !fs::read_dir("/proc/self/task")
        .unwrap()
        .flatten()
        .all(is_asleep)
    {
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn choice_among_1100_upstreams_does_not_allocate() {
    let mut pool = fleet_of(retaining(100_000), 1100);
    pool.set_owners(&UpstreamOwners::new(&[], &[]), "e");
    let requests = [needs(start()), needs_with_part(start(), 7, 500)];
    // The first use initialises the random generator of the thread.
    fastrand::u64(..);
    until_alone();
    let region = Region::new(ALLOCATOR);

    for i in 0..1000 {
        let choice = pool.choose(start(), &requests[i % 2], |_| false);
        assert!(matches!(choice, Choice::Send(_)));
    }

    assert_eq!(region.change().allocations, 0);
}
