//! Idle connections of a pool: how many it keeps, and which.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use smol::net::TcpListener;
use transport::{
    Connection, Exchange, ExchangeTimeouts, Handler, Listener, ListenerLimits, Pool, block_on,
    spawn,
};

struct Empty;

impl Handler for Empty {
    type Body = Full<Bytes>;
    type Error = Infallible;

    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::default())
    }
}

/// A server and its open connections.
struct Server {
    addr: SocketAddr,
    listener: Arc<Listener<Empty>>,
}

impl Server {
    async fn start() -> Self {
        let limits = ListenerLimits {
            connections: 64,
            head_bytes: 8192,
            head_fields: 100,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(10),
        };
        let listener = Arc::new(Listener::new(Arc::new(Empty), limits));
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let accepting = listener.clone();
        spawn(async move { accepting.accept(socket).await }).detach();
        Server { addr, listener }
    }

    /// Waits until `count` connections are open.
    async fn until_open(&self, count: usize) {
        for _ in 0..500 {
            if self.listener.open_connections() == count {
                return;
            }
            smol::Timer::after(Duration::from_millis(10)).await;
        }
        let open = self.listener.open_connections();
        panic!("{open} connections are open instead of {count}");
    }
}

/// Sends a request on a new connection and releases the connection to `pool`.
async fn exchange(pool: &Pool, addr: SocketAddr, max_idle: usize) {
    exchange_with(pool, addr, max_idle, None).await;
}

/// The same, where the server announces how long it keeps idle connections.
async fn exchange_with(
    pool: &Pool,
    addr: SocketAddr,
    max_idle: usize,
    keep_alive: Option<Duration>,
) {
    let limit = Duration::from_secs(5);
    let connection = Connection::open(addr, limit).await.unwrap();
    let request = Request::builder().uri("/").header("host", "h");
    let request = request.body(Full::default()).unwrap();
    let timeouts = ExchangeTimeouts {
        head: limit,
        read_timeout: limit,
    };
    let mut exchange = Exchange::begin(connection, request, timeouts)
        .await
        .unwrap();
    exchange.body.collect(1 << 10).await.unwrap();
    exchange.body.release(pool, keep_alive, max_idle);
}

#[test]
fn pool_keeps_no_more_idle_connections_than_the_share() {
    block_on(async {
        let (server, pool) = (Server::start().await, Pool::default());

        for _ in 0..10 {
            exchange(&pool, server.addr, 3).await;
        }

        assert_eq!(pool.idle_count(server.addr), 3);
        server.until_open(3).await;
    });
}

#[test]
fn pool_keeps_nothing_below_a_share_of_one() {
    block_on(async {
        let (server, pool) = (Server::start().await, Pool::default());

        exchange(&pool, server.addr, 0).await;

        assert!(pool.take(server.addr).is_none());
        server.until_open(0).await;
    });
}

#[test]
fn smaller_share_closes_the_surplus() {
    block_on(async {
        let (kept, removed) = (Server::start().await, Server::start().await);
        let pool = Pool::default();
        for server in [&kept, &kept, &kept, &removed] {
            exchange(&pool, server.addr, 8).await;
        }

        pool.close_surplus(|addr| usize::from(addr == kept.addr));

        kept.until_open(1).await;
        removed.until_open(0).await;
        assert!(pool.take(kept.addr).is_some());
    });
}

#[test]
fn idle_connections_of_all_peers_leave_descriptors_for_requests() {
    block_on(async {
        let pool = Pool::default();
        let mut servers = Vec::new();
        for _ in 0..12 {
            servers.push(Server::start().await);
        }

        for server in &servers {
            for _ in 0..24 {
                exchange(&pool, server.addr, 24).await;
            }
        }

        let idle = servers.iter().map(|s| pool.idle_count(s.addr));
        assert_eq!(idle.sum::<usize>(), 256);
        assert_eq!(pool.idle_count(servers[11].addr), 24);
    });
}

/// The surplus of a share that had shrunk to nothing stayed open until the next sweep.
#[test]
fn release_below_a_share_of_one_closes_the_surplus() {
    block_on(async {
        let (server, pool) = (Server::start().await, Pool::default());
        for _ in 0..3 {
            exchange(&pool, server.addr, 3).await;
        }

        exchange(&pool, server.addr, 0).await;

        server.until_open(0).await;
    });
}

/// Only the pool of the dispatcher was swept; in the others, connections to peers that
/// are not called any more stayed open until the peer closed them.
#[test]
fn release_closes_connections_to_other_peers_that_were_idle_for_too_long() {
    block_on(async {
        let (left, used) = (Server::start().await, Server::start().await);
        let pool = Pool::default();
        let keep_alive = Some(Duration::from_millis(900));
        exchange_with(&pool, left.addr, 3, keep_alive).await;
        smol::Timer::after(Duration::from_millis(300)).await;

        exchange(&pool, used.addr, 3).await;

        left.until_open(0).await;
        assert_eq!(pool.idle_count(used.addr), 1);
    });
}

/// A request that was not written at all was reported as possibly run.
#[test]
fn request_on_a_connection_that_was_reset_before_is_unsent() {
    block_on(async {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let limit = Duration::from_secs(5);
        let connection = Connection::open(socket.local_addr().unwrap(), limit);
        let connection = connection.await.unwrap();
        drop(socket.accept().await.unwrap());
        smol::Timer::after(Duration::from_millis(50)).await;

        let request = Request::builder().uri("/").body(Full::default()).unwrap();
        let timeouts = ExchangeTimeouts {
            head: limit,
            read_timeout: limit,
        };
        let failed = Exchange::begin(connection, request, timeouts).await;

        assert!(failed.is_err_and(|e| e.is_unsent()));
    });
}
