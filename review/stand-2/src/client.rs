//! A client of the frontend.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use transport::with_timeout;

/// Longest wait for an answer, beyond the deadline that is stated.
const SLACK: Duration = Duration::from_secs(2);

/// A request that may be repeated.
#[derive(Debug, Clone)]
pub struct Call {
    pub key: &'static str,
    pub attempt: String,
    pub deadline: Duration,
    /// Further short header fields.
    pub fields: usize,
}

impl Call {
    /// Head of the request.
    pub fn head(&self) -> String {
        let fields: String = (0..self.fields)
            .map(|n| format!("X-{n:x}: 1\r\n"))
            .collect();
        format!(
            "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\
             Authorization: Bearer {}\r\nX-Turmerichold-Attempt-Id: {}\r\n\
             X-Turmerichold-Deadline-Ms: {}\r\n{fields}\r\n",
            self.key,
            self.attempt,
            self.deadline.as_millis()
        )
    }
}

/// Status of the answer to a request on a new connection; `None` without one.
pub async fn call(addr: SocketAddr, call: &Call) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(call.head().as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok()?;
        let text = String::from_utf8_lossy(&bytes);
        text.split(' ').nth(1)?.parse().ok()
    };
    with_timeout(call.deadline + SLACK, exchange)
        .await
        .flatten()
}
