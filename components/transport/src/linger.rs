use std::time::Duration;

use futures_lite::AsyncReadExt;
use smol::net::TcpStream;

use crate::with_timeout;

/// Longest time for which the input of a connection is read after the last response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read then.
const LINGER_BYTES: usize = 4 << 20;
const BUFFER_BYTES: usize = 4 << 10;

/// Reads and discards what a peer still sends after the last response, until it closes the
/// connection or a limit is reached. A close with unread input resets the connection, and
/// the peer may lose the response.
pub(crate) async fn linger(mut stream: TcpStream) {
    let discarding = async {
        let mut left = LINGER_BYTES;
        let mut buf = [0; BUFFER_BYTES];
        while let Ok(len @ 1..) = stream.read(&mut buf).await {
            left = left.saturating_sub(len);
            if left == 0 {
                return;
            }
        }
    };
    with_timeout(LINGER_TIME, discarding).await;
}
