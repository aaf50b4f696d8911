//! Time of a choice as a service grows. Run with `cargo bench -p dispatch`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use divan::Bencher;
use fixture::{fleet, start, wanted};

fn main() {
    divan::main();
}

#[divan::bench(args = [14, 110, 1100, 11_000])]
fn choose(bencher: Bencher, upstreams: u32) {
    let seats = fleet(upstreams);
    let wanted = wanted(start());
    bencher.bench_local(|| seats.choose(start(), &wanted, |_| false));
}
