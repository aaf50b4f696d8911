use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use crate::linger::linger;
use crate::with_timeout;

/// Longest wait for the beginning of a request.
const REQUEST_WAIT: Duration = Duration::from_secs(1);
const BUFFER_BYTES: usize = 4 << 10;
/// Response on a connection above the limit.
const RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Refuses the first request of a connection above the limit, without reading all of it.
pub(crate) async fn refuse(mut stream: TcpStream) {
    let mut buf = [0; BUFFER_BYTES];
    let read = with_timeout(REQUEST_WAIT, stream.read(&mut buf)).await;
    if !matches!(read, Some(Ok(1..))) {
        return;
    }
    let written = async {
        stream.write_all(RESPONSE).await?;
        stream.close().await
    };
    match with_timeout(REQUEST_WAIT, written).await {
        Some(Ok(())) => linger(stream).await,
        Some(Err(e)) => log::debug!("transport: refusal failed: {e}"),
        None => log::debug!("transport: refusal timed out"),
    }
}
