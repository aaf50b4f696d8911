//! Time of a notice of another entry, and of an assignment of upstreams to entries, by
//! number of entries. Run with `cargo bench -p dispatch --bench notices`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use dispatch::{EntryDemand, PeerLoads, UpstreamLoad, UpstreamOwners, UpstreamPool};
use divan::Bencher;
use domain::RegionId;
use fixture::fleet;

/// Numbers of entries and upstreams.
const SIZES: [(usize, u32); 3] = [(12, 36), (53, 138), (390, 1100)];
/// Requests in flight of an entry.
const IN_FLIGHT: usize = 20;
/// Regions of a fleet.
const REGIONS: usize = 5;

fn main() {
    divan::main();
}

fn loads(upstreams: u32, seed: usize) -> Vec<(u32, UpstreamLoad)> {
    let tag = |i| u32::try_from(seed * 31 + i * 7).unwrap_or_default() % upstreams;
    let load = UpstreamLoad {
        requests: 1,
        prefill_tokens: 900,
    };
    (0..IN_FLIGHT).map(|i| (tag(i), load)).collect()
}

fn region(number: usize) -> RegionId {
    format!("r{}", number % REGIONS).as_str().into()
}

/// Each notice differs from the one before in a tenth of its upstreams.
#[divan::bench(args = SIZES)]
fn notice(bencher: Bencher, (entries, upstreams): (usize, u32)) {
    let mut pool: UpstreamPool = fleet(upstreams);
    let mut peers = PeerLoads::default();
    let names: Vec<domain::VmId> = (0..entries)
        .map(|i| format!("e{i}").as_str().into())
        .collect();
    for (i, name) in names.iter().enumerate() {
        peers.replace(name, loads(upstreams, i));
    }
    let mut round = 0;
    bencher.bench_local(|| {
        round += 1;
        let mut next = loads(upstreams, round % entries);
        next.truncate(IN_FLIGHT - round % 3);
        for (tag, load) in peers.replace(&names[round % entries], next) {
            pool.set_others(tag, load);
        }
    });
}

#[divan::bench(args = SIZES)]
fn owners(bencher: Bencher, (entries, upstreams): (usize, u32)) {
    let demand = |i: usize| EntryDemand {
        vm: format!("e{i}").as_str().into(),
        region: region(i),
        demand: u16::try_from(10 + i % 7).unwrap_or_default(),
    };
    let entries: Vec<EntryDemand> = (0..entries).map(demand).collect();
    let upstreams: Vec<(u32, RegionId)> = (0..upstreams)
        .map(|tag| (tag, region(tag.try_into().unwrap_or_default())))
        .collect();
    bencher.bench_local(|| UpstreamOwners::new(&entries, &upstreams));
}
