//! Stand-in of a client.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Response, read_response};
use crate::process::connect;

/// What a client sent and got.
#[derive(Debug, Clone)]
pub struct Sent {
    pub attempt: String,
    pub at: Instant,
    /// Status of the answer, if one came.
    pub status: Option<u16>,
    pub answered: Option<Instant>,
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let text = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    call(addr, text.as_bytes(), Duration::from_secs(1)).is_some_and(|r| r.status == 200)
}

/// Sends a request on a new channel and reads the response.
pub fn call(addr: SocketAddr, text: &[u8], limit: Duration) -> Option<Response> {
    let mut stream = connect(addr).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(text).ok()?;
    read_response(&mut BufReader::new(stream)).ok()?
}

/// Sends a safe request with a key on a new channel.
pub fn get(addr: SocketAddr, path: &str, attempt: &str, key: &str) -> Sent {
    get_within(addr, path, attempt, key, Duration::from_millis(1500))
}

/// The same with the time that the client waits.
pub fn get_within(addr: SocketAddr, path: &str, attempt: &str, key: &str, limit: Duration) -> Sent {
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\
         X-Turmerichold-Attempt-Id: {attempt}\r\nX-Turmerichold-Deadline-Ms: {}\r\n\
         Authorization: Bearer {key}\r\n\r\n",
        limit.as_millis()
    );
    let at = Instant::now();
    let response = call(addr, text.as_bytes(), limit);
    let answered = response.is_some().then(Instant::now);
    Sent {
        attempt: attempt.to_owned(),
        at,
        status: response.map(|r| r.status),
        answered,
    }
}

/// Sends an unsafe request with a key on a new channel.
pub fn post(addr: SocketAddr, path: &str, attempt: &str, key: &str) -> Sent {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\
         X-Turmerichold-Attempt-Id: {attempt}\r\nX-Turmerichold-Deadline-Ms: 1500\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let at = Instant::now();
    let response = call(addr, text.as_bytes(), Duration::from_millis(1500));
    let answered = response.is_some().then(Instant::now);
    Sent {
        attempt: attempt.to_owned(),
        at,
        status: response.map(|r| r.status),
        answered,
    }
}
