//! A crowd of clients that stop half-way in heads and bodies of legal size.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_lite::AsyncWriteExt;
use rustix::net::{AddressFamily, SocketType};
use rustix::process::{Resource, getrlimit};
use smol::net::TcpStream;
use smol::{Task, Timer};
use transport::{spawn, with_timeout};

use crate::Verdict;
use crate::client::{Call, call};
use crate::engine::Engine;
use crate::fleet::{DESCRIPTORS, Fleet, MEMORY_MB, config, upstream};
use crate::record::Record;

/// Clients whose bodies stop one byte short of their end.
const BODIES: usize = 110;
/// Length that each of them states; `max_body_bytes` is 4 MiB.
const BODY_LEN: usize = 600_000;
/// Clients whose heads stop short of their end.
const HEADS: usize = 2700;
/// Bytes that each of them sends; `max_header_bytes` is 16,384.
const HEAD_LEN: usize = 15_900;
/// Addresses that the crowd comes from.
const ADDRESSES: usize = 8;
/// Clients that connect at once: fewer than wait in the backlog of a listener.
const GROUP: usize = 50;
/// Time until the gateway has accepted them.
const GROUP_INTERVAL: Duration = Duration::from_millis(20);
const WRITE_TIME: Duration = Duration::from_secs(3);
const STAY_TIME: Duration = Duration::from_secs(8);
const ORDINARY_INTERVAL: Duration = Duration::from_millis(250);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const ORDINARY: &str = "key-of-t";
const HOSTILE: [&str; 2] = ["key-of-u", "key-of-v"];

pub async fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let open = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if open < DESCRIPTORS + 100 {
        return Err(format!("only {open} descriptors may be opened"));
    }
    let engine = Engine::start("i-1", Duration::from_millis(20), "").await?;
    let tenants: [(&str, &[&str]); 3] = [
        ("t", &[ORDINARY]),
        ("u", &[HOSTILE[0]]),
        ("v", &[HOSTILE[1]]),
    ];
    let records = [("i-1", upstream(engine.addr, 16))];
    let fleet = Fleet::start(1, config(1, &tenants), &records, ORDINARY).await?;
    let door = fleet.doors[0];
    let pid = fleet.gateways[0].id();
    record.note(&format!(
        "the gateway serves; resident: {} kB",
        resident(pid, "VmRSS:")?
    ));

    let statuses: Arc<Mutex<Vec<Option<u16>>>> = Arc::default();
    let ordinary = spawn(ordinary_calls(door, statuses.clone()));
    Timer::after(Duration::from_secs(2)).await;
    let mut crowd = Vec::new();
    if trouble {
        crowd.extend(gather(door, HEADS, |_| head()).await);
        record.note(&format!("{} heads stop half-way", crowd.len()));
        crowd.extend(gather(door, BODIES, |i| body(HOSTILE[i % 2])).await);
        record.note(&format!(
            "{} clients of the crowd are connected",
            crowd.len()
        ));
    }
    let end = Instant::now() + STAY_TIME;
    while Instant::now() < end {
        if fleet.gateways[0].has_ended() {
            record.note("the gateway has ended");
            return Ok(Verdict::Broken);
        }
        record.detail(&format!("resident: {} kB", resident(pid, "VmRSS:")?));
        Timer::after(SAMPLE_INTERVAL).await;
    }
    drop(crowd);
    Timer::after(Duration::from_secs(1)).await;
    ordinary.cancel().await;

    let statuses = statuses.lock().unwrap();
    let served = statuses.iter().filter(|s| **s == Some(200)).count();
    record.note(&format!(
        "{served} of {} ordinary requests got 200, others: {:?}",
        statuses.len(),
        statuses
            .iter()
            .filter(|s| **s != Some(200))
            .collect::<Vec<_>>()
    ));
    let peak = resident(pid, "VmHWM:")?;
    let limit = MEMORY_MB * 1_000_000 / 1024;
    record.note(&format!(
        "peak of the resident memory: {peak} kB; memory_mb = {MEMORY_MB}, which is {limit} kB"
    ));
    // 1 MB may also stand for 1,048,576 bytes.
    match peak > MEMORY_MB * 1024 {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

async fn ordinary_calls(door: SocketAddr, statuses: Arc<Mutex<Vec<Option<u16>>>>) {
    for number in 0.. {
        let request = Call {
            key: ORDINARY,
            attempt: format!("t-{number}"),
            deadline: Duration::from_millis(1500),
            fields: 0,
        };
        let status = call(door, &request).await;
        statuses.lock().unwrap().push(status);
        Timer::after(ORDINARY_INTERVAL).await;
    }
}

/// A request whose body lacks its last byte.
fn body(key: &str) -> Vec<u8> {
    let mut bytes = format!(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {key}\r\n\
         X-Turmerichold-Attempt-Id: crowd\r\nX-Turmerichold-Deadline-Ms: 6000\r\n\
         Content-Length: {BODY_LEN}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + BODY_LEN - 1, b'x');
    bytes
}

/// A head that lacks its end.
fn head() -> Vec<u8> {
    let mut bytes = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Note: ".to_vec();
    bytes.resize(HEAD_LEN, b'x');
    bytes
}

/// Connects `count` clients and lets each send its bytes; returns those that are connected.
async fn gather(
    door: SocketAddr,
    count: usize,
    bytes: impl Fn(usize) -> Vec<u8>,
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for first in (0..count).step_by(GROUP) {
        let group = first..count.min(first + GROUP);
        let start = |i| spawn(send(door, i % ADDRESSES, bytes(i)));
        let tasks: Vec<Task<Option<TcpStream>>> = group.map(start).collect();
        for task in tasks {
            streams.extend(task.await);
        }
        Timer::after(GROUP_INTERVAL).await;
    }
    streams
}

async fn send(door: SocketAddr, address: usize, bytes: Vec<u8>) -> Option<TcpStream> {
    let address = u8::try_from(address).ok()? + 1;
    let from = SocketAddrV4::new(Ipv4Addr::new(127, 0, 9, address), 0);
    let mut stream = connect_from(from, door)?;
    // The gateway may refuse the client, or stop to read.
    let _ = with_timeout(WRITE_TIME, stream.write_all(&bytes)).await;
    Some(stream)
}

/// Connects from an address of the loopback interface, which takes no time.
fn connect_from(from: SocketAddrV4, to: SocketAddr) -> Option<TcpStream> {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    rustix::net::bind(&socket, &from).ok()?;
    rustix::net::connect(&socket, &to).ok()?;
    let stream = std::net::TcpStream::from(socket);
    stream.set_nonblocking(true).ok()?;
    TcpStream::try_from(stream).ok()
}

/// A figure of `/proc/PID/status` in kB.
fn resident(pid: u32, field: &str) -> Result<u64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let text = text.map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|l| l.strip_prefix(field));
    let number = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or_else(|| format!("no {field} in the status of the gateway"))
}
