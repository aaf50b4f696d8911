use std::net::SocketAddr;

use smol::net::UdpSocket;

use crate::Notice;

/// Longest datagram; stays within one packet of most networks for some hundred
/// upstreams.
const MAX_DATAGRAM: usize = 16 << 10;

/// Sends and receives notices.
pub struct NoticeSocket {
    socket: UdpSocket,
}

impl NoticeSocket {
    /// Listens for notices at `addr`.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        Ok(NoticeSocket {
            socket: UdpSocket::bind(addr).await?,
        })
    }

    /// Sends a notice to each address. Datagrams may get lost.
    pub async fn send(&self, notice: &Notice, to: &[SocketAddr]) {
        let bytes = match rmp_serde::to_vec(notice) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("post: notice does not encode: {e}");
                return;
            }
        };
        for addr in to {
            if let Err(e) = self.socket.send_to(&bytes, addr).await {
                log::debug!("post: no notice sent to {addr}: {e}");
            }
        }
    }

    /// The next notice that decodes.
    pub async fn receive(&self) -> Notice {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => match rmp_serde::from_slice(&buffer[..len]) {
                    Ok(notice) => return notice,
                    Err(e) => log::warn!("post: notice of {from} does not decode: {e}"),
                },
                // An earlier datagram was refused by its receiver.
                Err(e) => log::debug!("post: {e}"),
            }
        }
    }
}
