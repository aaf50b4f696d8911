//! A log that comes back from an older copy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use platform::{LogClient, PlatformError, streams};
use smol::net::TcpListener;
use stand_ins::log::Log;
use wire::{Client, Server, ServerLimits};

/// A log and its address.
async fn start() -> (Arc<Log>, SocketAddr) {
    let log = Arc::new(Log::new(1000, 1000));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (server, close) = Server::new(log.clone(), ServerLimits::default());
    smol::spawn(async move {
        let _close = close;
        server.run(listener, Duration::ZERO).await;
    })
    .detach();
    (log, addr)
}

async fn append(client: &LogClient, count: u64) -> platform::Position {
    for number in 1..count {
        client.append(streams::STARTS, &number).await.unwrap();
    }
    client.append(streams::STARTS, &count).await.unwrap()
}

/// A process started after the log was restored got a lower fencing number than one that
/// the engine had seen, and its orders were refused.
#[test]
fn start_after_a_restored_log_is_fenced_out() {
    smol::block_on(async {
        let (log, addr) = start().await;
        let before = append(&LogClient::new(addr, Client::default()), 1).await;
        let copied = Instant::now();
        let lost = append(&LogClient::new(addr, Client::default()), 5).await;

        log.restore(copied.elapsed());
        let after = append(&LogClient::new(addr, Client::default()), 1).await;

        assert_eq!(
            after.offset,
            before.offset + 1,
            "offsets are given out again"
        );
        assert!(after.sequence() > lost.sequence(), "{after:?}, {lost:?}");
    });
}

/// A reader that was ahead of the restored copy waited for offsets that it had read
/// already.
#[test]
fn read_beyond_the_end_of_a_restored_log_is_refused() {
    smol::block_on(async {
        let (log, addr) = start().await;
        let client = LogClient::new(addr, Client::default());
        let copied = Instant::now();
        let lost = append(&client, 5).await;

        log.restore(copied.elapsed());
        let wait = Duration::from_secs(5);
        let read = client.read::<u64>(streams::STARTS, lost.offset + 1, wait);
        let error = read.await.unwrap_err();

        assert!(
            matches!(error, PlatformError::Refused { status: 410, .. }),
            "{error}"
        );
        assert_eq!(client.era(), Some(1));
    });
}
