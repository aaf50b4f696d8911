//! Time of a choice by size of the fleet. Run with `cargo bench -p routing`.

use std::time::Duration;

use divan::Bencher;
use routing::{AffinityTable, Candidate, Criteria, Prefix, choose};

fn main() {
    divan::main();
}

fn fleet(size: u64) -> Vec<Candidate> {
    (0..size)
        .map(|key| Candidate {
            key,
            limit: 16,
            others_outstanding: u32::try_from(key % 16).unwrap_or(0),
            service_time: Duration::from_millis(100 + key % 50),
            open: key % 11 != 0,
            ..Candidate::default()
        })
        .collect()
}

#[divan::bench(args = [20, 110, 1100, 11000])]
fn by_load(bencher: Bencher, size: u64) {
    let fleet = fleet(size);
    let mut rng = fastrand::Rng::with_seed(1);
    bencher.bench_local(|| choose(Duration::ZERO, &fleet, Criteria::default(), &mut rng));
}

#[divan::bench(args = [20, 110, 1100, 11000])]
fn by_prefix(bencher: Bencher, size: u64) {
    let fleet = fleet(size);
    let mut rng = fastrand::Rng::with_seed(1);
    let keys: Vec<u64> = fleet.iter().map(|c| c.key).collect();
    let affinity = AffinityTable::new(&keys);
    let mut prefix = 0u64;
    bencher.bench_local(|| {
        prefix = prefix.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let criteria = Criteria {
            prefix: Some(Prefix {
                hash: prefix,
                affinity: &affinity,
            }),
            tried: &[],
        };
        choose(Duration::ZERO, &fleet, criteria, &mut rng)
    });
}
