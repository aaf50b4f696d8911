//! Time of a choice by number of upstreams. Run with `cargo bench -p dispatch`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use dispatch::UpstreamOwners;
use divan::Bencher;
use fixture::{fleet, fleet_of, ms, needs, needs_with_part, retaining, start};

fn main() {
    divan::main();
}

#[divan::bench(args = [14, 110, 1100, 11_000])]
fn choose(bencher: Bencher, upstreams: u32) {
    let pool = fleet(upstreams);
    let needs = needs(start());
    bencher.bench_local(|| pool.choose(start(), &needs, |_| false));
}

/// A choice for a prompt with a shared part, with full memories of prompt parts.
#[divan::bench(args = [14, 110, 138, 1100])]
fn choose_by_prefix(bencher: Bencher, upstreams: u32) {
    let mut pool = fleet_of(retaining(u32::MAX), upstreams);
    for i in 0..upstreams {
        for part in 0..200 {
            let sent = needs_with_part(start(), part, 500);
            let id = format!("i-{i}");
            if let Some(guess) = pool.record_send(start(), &id, &sent) {
                pool.record_prompt(&id, &guess, ms(10));
            }
            if let Some(pooled) = pool.get_mut(&id) {
                pooled.record_prefill(800);
                pooled.record_end();
            }
        }
    }
    pool.set_owners(&UpstreamOwners::new(&[], &[]), "e");
    // The load of the last interval between notices would count for each upstream.
    let now = start() + ms(500);
    let needs = needs_with_part(now, 150, 500);
    bencher.bench_local(|| pool.choose(now, &needs, |_| false));
}
