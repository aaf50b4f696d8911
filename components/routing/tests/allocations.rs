//! A choice does not allocate memory.

use std::alloc::System;
use std::time::Duration;

use routing::{AffinityTable, Candidate, Criteria, Prefix, choose};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

#[test]
fn a_choice_among_1100_upstreams_allocates_nothing() {
    let fleet: Vec<Candidate> = (0..1100)
        .map(|key| Candidate {
            key,
            limit: 16,
            service_time: Duration::from_millis(100),
            open: key % 2 == 0,
            ..Candidate::default()
        })
        .collect();
    let keys: Vec<u64> = fleet.iter().map(|c| c.key).collect();
    let affinity = AffinityTable::new(&keys);
    let mut rng = fastrand::Rng::with_seed(1);
    let region = Region::new(ALLOCATOR);

    for i in 0..10_000u64 {
        let criteria = Criteria {
            prefix: Some(Prefix {
                hash: i,
                affinity: &affinity,
            }),
            tried: &[i],
        };
        choose(Duration::ZERO, &fleet, criteria, &mut rng);
    }

    assert_eq!(region.change().allocations, 0);
}
