//! Gateways of a small deployment, the store, and what is written there.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::Timer;

use crate::client::{Call, call};
use crate::process::Process;
use crate::stand_in::{self, Store};

/// `memory_mb` of a gateway in the settings of the users' pages.
pub const MEMORY_MB: u64 = 260;
/// `file_descriptors` of a gateway there.
pub const DESCRIPTORS: u64 = 4100;
const FRONTEND: u16 = 20;
const READY: u16 = 21;
const CONTROL: u16 = 22;
/// Gateways that may be added.
const SPARE: u8 = 2;
const START_TIME: Duration = Duration::from_secs(20);

/// A deployment of one failure domain.
pub struct Fleet {
    pub store: Arc<Store>,
    pub gateways: Vec<Process>,
    pub doors: Vec<SocketAddr>,
    dir: PathBuf,
    /// Addresses of the gateways, of which the last are spare.
    ips: Vec<Ipv4Addr>,
    /// First port of the gateways.
    base: u16,
    store_addr: SocketAddr,
}

impl Fleet {
    /// Starts a store with `config` and the upstreams, and `count` gateways; waits until each
    /// of them serves requests with `key`.
    pub async fn start(
        count: u8,
        config: Value,
        upstreams: &[(&str, Value)],
        key: &'static str,
    ) -> Result<Self, String> {
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", Some(config));
        for (id, record) in upstreams {
            store.put("keyed.servers", id, Some(record.clone()));
        }
        let store_addr = stand_in::serve(store.clone()).await;
        let (block, base) = free_block(count + SPARE)?;
        let name = format!("turmerichold-review-{}-{base}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let ip = |n: u8| Ipv4Addr::new(127, 0, block, n);
        let ips: Vec<Ipv4Addr> = (1..=count + SPARE).map(ip).collect();
        let mut fleet = Fleet {
            store,
            gateways: Vec::new(),
            doors: Vec::new(),
            dir,
            ips,
            base,
            store_addr,
        };
        for _ in 0..count {
            fleet.add()?;
        }
        fleet.until_served(key).await?;
        Ok(fleet)
    }

    /// Starts the next gateway.
    pub fn add(&mut self) -> Result<(), String> {
        let own = self.ips[self.gateways.len()];
        let path = self.dir.join(format!("edge-{own}.toml"));
        let log = self.dir.join(format!("edge-{own}.log"));
        let text = settings(own, &self.ips, self.base, self.store_addr);
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        let process = Process::start(program()?, "gateway", path, log);
        self.gateways.push(process);
        self.doors
            .push(SocketAddr::from((own, self.base + FRONTEND)));
        Ok(())
    }

    async fn until_served(&self, key: &'static str) -> Result<(), String> {
        let end = Instant::now() + START_TIME;
        for door in &self.doors {
            let start = Call {
                key,
                attempt: "start".to_owned(),
                deadline: Duration::from_secs(1),
                fields: 0,
            };
            while call(*door, &start).await != Some(200) {
                if Instant::now() > end {
                    return Err(format!("the gateway at {door} serves no request"));
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Ends the processes before their folder is removed.
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// The program as the deploy file builds it.
fn program() -> Result<PathBuf, String> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let here = std::env::var_os("REVIEW_ROOT").map_or(root, PathBuf::from);
    let program = here.join("target/release/turmerichold");
    match program.exists() {
        true => Ok(program),
        false => Err("build the program first: cargo build --release".to_owned()),
    }
}

/// Loopback addresses 127.0.BLOCK.n and a first port that are free at all of them.
fn free_block(count: u8) -> Result<(u8, u16), String> {
    for _ in 0..200 {
        let (block, base) = (fastrand::u8(30..250), fastrand::u16(300..490) * 50);
        let is_free = |n: u8| {
            let ip = Ipv4Addr::new(127, 0, block, n);
            [0, FRONTEND, READY, CONTROL].iter().all(|p| {
                std::net::TcpListener::bind((ip, base + p)).is_ok()
                    && std::net::UdpSocket::bind((ip, base + p)).is_ok()
            })
        };
        if (1..=count).all(is_free) {
            return Ok((block, base));
        }
    }
    Err("no free ports".to_owned())
}

/// Settings as the users' pages show them, for a deployment of one failure domain.
fn settings(own: Ipv4Addr, all: &[Ipv4Addr], base: u16, store: SocketAddr) -> String {
    let seeds: Vec<String> = all
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:{}\"", base + CONTROL))
        .collect();
    let (seeds, last) = (seeds.join(","), base + 15);
    let (frontend, ready, control) = (base + FRONTEND, base + READY, base + CONTROL);
    format!(
        r#"node_name = "edge-{own}"
role = "gateway"
machine_class = "edge"
serves = ["edge","control"]
ip = "{own}"
zone = "a"
region = "north"
internal_port_range = [{base},{last}]
seeds = [{seeds}]
is_bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
a = "north"
[listen]
frontend = "{own}:{frontend}"
ready = "{own}:{ready}"
control_plane = "{own}:{control}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = {MEMORY_MB}
file_descriptors = {DESCRIPTORS}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stability_window_ms = 3000
confirmation_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_propagation_ms = 2000
downgrade_slack_ms = 250
partition_stretch_ms = 5000
revocation_strict = true
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 100
cold_overshoot = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
pass_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
"#
    )
}

/// A configuration with one route for requests that may be repeated; each tenant has a name
/// and its keys.
pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> Value {
    let tenant = |(name, keys): &(&str, &[&str])| json!({ "name": name, "api_keys": keys, "priority": 1, "home_regions": [] });
    json!({
        "version": version,
        "routes": [{
            "name": "safe", "host": "h.example", "path_prefix": "/safe/", "kind": "safe",
            "timeout_ms": 6000, "target_latency_ms": 400, "priority": 1, "service": "s",
            "attempts": 2, "anonymous": false, "sticky": false, "resumable": false,
            "home_regions": [],
        }],
        "services": [{
            "name": "s", "health_path": "/health", "connection_limit": 424,
            "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": tenants.iter().map(tenant).collect::<Vec<_>>(),
    })
}

/// Record of an upstream that is ready.
pub fn upstream(addr: SocketAddr, slots: u32) -> Value {
    json!({
        "service": "s", "address": addr.to_string(), "zone": "a", "version": "v1",
        "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 1_700_000_000_000_u64,
    })
}
