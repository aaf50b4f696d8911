//! Time of a choice by number of upstreams. Run with `cargo bench -p dispatch`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use divan::Bencher;
use fixture::{fleet, needs, start};

fn main() {
    divan::main();
}

#[divan::bench(args = [14, 110, 1100, 11_000])]
fn choose(bencher: Bencher, upstreams: u32) {
    let pool = fleet(upstreams);
    let needs = needs(start());
    bencher.bench_local(|| pool.choose(start(), &needs, |_| false));
}
