use std::net::SocketAddr;

use smol::net::UdpSocket;

use crate::Notice;

/// Longest datagram, in bytes. A notice about a hundred upstreams still fits
/// into one packet on most networks.
const MAX_DATAGRAM: usize = 16 << 10;

/// UDP socket for notices.
pub struct NoticeSocket {
    socket: UdpSocket,
}

impl NoticeSocket {
    /// Binds a socket to `addr`.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        Ok(NoticeSocket {
            socket: UdpSocket::bind(addr).await?,
        })
    }

    /// Sends a notice to each address. Datagrams may be lost.
    pub async fn send(&self, notice: &Notice, to: &[SocketAddr]) {
        let bytes = match notice.encode() {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("feed: notice does not encode: {e}");
                return;
            }
        };
        for addr in to {
            if let Err(e) = self.socket.send_to(&bytes, addr).await {
                log::debug!("feed: notice not sent to {addr}: {e}");
            }
        }
    }

    /// Receives the next notice; datagrams that do not decode are skipped.
    pub async fn receive(&self) -> Notice {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => match rmp_serde::from_slice(&buffer[..len]) {
                    Ok(notice) => return notice,
                    Err(e) => log::warn!("feed: notice from {from} does not decode: {e}"),
                },
                // The error may concern a datagram sent earlier, which its receiver rejected.
                Err(e) => log::debug!("feed: receiving a notice failed: {e}"),
            }
        }
    }
}
