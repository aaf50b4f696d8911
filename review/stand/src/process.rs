//! The system's own processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;

/// A gateway, killed when dropped.
pub struct Gateway {
    child: Child,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file and waits until it is ready.
    pub fn start_at(dir: &Path, ip: &str, ports: [u16; 4], store: SocketAddr) -> Gateway {
        let log = File::create(dir.join(format!("gateway-{ip}.log"))).unwrap();
        Gateway::start_with(
            dir,
            ip,
            ports,
            store,
            log.try_clone().unwrap().into(),
            log.into(),
        )
    }

    /// The same with these outputs.
    pub fn start_with(
        dir: &Path,
        ip: &str,
        ports: [u16; 4],
        store: SocketAddr,
        out: Stdio,
        err: Stdio,
    ) -> Gateway {
        let text = settings_text(ip, ports, store);
        let mut gateway = Gateway::spawn(dir, ip, ports, &text, out, err);
        if !gateway.until_ready() {
            crate::cannot_run("the gateway is not ready after 15 s");
        }
        gateway
    }

    /// Starts a gateway with the settings `text`.
    pub fn spawn(
        dir: &Path,
        ip: &str,
        ports: [u16; 4],
        text: &str,
        out: Stdio,
        err: Stdio,
    ) -> Gateway {
        let settings = dir.join(format!("gateway-{ip}.toml"));
        fs::write(&settings, text).unwrap();
        let child = Command::new(root().join("target/release/turmerichold"))
            .arg("gateway")
            .current_dir(root())
            .env("TURMERICHOLD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .unwrap_or_else(|e| crate::cannot_run(&format!("the gateway does not start: {e}")));
        let addr = |port| SocketAddr::new(ip.parse().unwrap(), port);
        Gateway {
            child,
            frontend: addr(ports[0]),
            ready: addr(ports[1]),
        }
    }

    /// Waits until it says that it is ready; false if it has ended or is not ready after 15 s.
    pub fn until_ready(&mut self) -> bool {
        let limit = Instant::now() + Duration::from_secs(15);
        while !client::is_ready(self.ready) {
            if Instant::now() > limit || !self.runs() {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        if !sent.is_ok_and(|s| s.success()) {
            crate::cannot_run("the signal cannot be sent");
        }
    }

    /// Waits for its end.
    pub fn until_ended(&mut self) -> Option<i32> {
        self.child.wait().ok()?.code()
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// A loader beside an engine, killed when dropped.
pub struct Loader(Child);

impl Loader {
    /// Starts a loader with the command of the deploy file.
    pub fn start(
        dir: &Path,
        ip: &str,
        ports: [u16; 4],
        store: SocketAddr,
        app: SocketAddr,
    ) -> Loader {
        let settings = dir.join(format!("loader-{ip}.toml"));
        let log = File::create(dir.join(format!("loader-{ip}.log"))).unwrap();
        let text = settings_text(ip, ports, store).replace("edge", "side");
        let text = format!("app = \"{app}\"\nservice = \"llm\"\n{text}");
        fs::write(&settings, text).unwrap();
        let child = Command::new(root().join("target/release/turmerichold"))
            .arg("loader")
            .current_dir(root())
            .env("TURMERICHOLD_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        Loader(
            child.unwrap_or_else(|e| crate::cannot_run(&format!("the loader does not start: {e}"))),
        )
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Loader {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The root of the repository: two folders above this crate.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .unwrap()
        .to_owned()
}

/// Four ports that are free for TCP and UDP at each of `ips`: machines have the same ones.
pub fn free_ports(ips: &[&str]) -> [u16; 4] {
    let (mut ports, mut held) = (Vec::new(), Vec::new());
    while ports.len() < 4 {
        let port = TcpListener::bind((ips[0], 0))
            .unwrap()
            .local_addr()
            .unwrap()
            .port();
        let sockets: Vec<_> = ips
            .iter()
            .map(|ip| (TcpListener::bind((*ip, port)), UdpSocket::bind((*ip, port))))
            .collect();
        if sockets.iter().all(|(tcp, udp)| tcp.is_ok() && udp.is_ok()) {
            ports.push(port);
            held.push(sockets);
        }
    }
    [ports[0], ports[1], ports[2], ports[3]]
}

/// Settings of a process.
pub fn settings_text(
    ip: &str,
    [frontend, ready, control, internal]: [u16; 4],
    store: SocketAddr,
) -> String {
    format!(
        r#"node_name = "edge-{ip}"
role = "gateway"
machine_class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "a-1"
region = "a"
internal_port_range = [{internal}, {internal}]
seeds = ["127.0.0.1:{control}"]
is_bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "stream", "tenants", "places", "platform"]
[zones]
a-1 = "a"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
control_plane = "{ip}:{control}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
file_descriptors = 4200
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

/// Connects within a second.
pub fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
