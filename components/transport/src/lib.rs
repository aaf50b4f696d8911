//! HTTP/1.1 client and server for callers, upstreams and peers: hyper on smol.
//!
//! async-h1 does not support three things that upstreams do: bodies that end
//! with the connection, heads over 8 KiB, and responses that arrive before a
//! long request body is sent. hyper handles all three.

mod abort_cause;
mod bounded_stream;
mod client_addr;
mod close_signal;
mod connection;
mod connection_group;
mod error;
mod exchange;
mod fetch;
mod in_flight;
mod input_end;
mod linger;
mod listener;
mod open_exchange;
mod peer_watch;
mod pool;
mod runtime;
mod send_ticket;
mod served_connection;
mod served_stream;
mod socket_state;
mod surplus_connection;
mod timeout;
mod tracked_body;
mod write_limit;
mod write_terms;

pub use abort_cause::AbortCause;
pub use client_addr::ClientAddr;
pub use close_signal::CloseSignal;
pub use connection::Connection;
pub use connection_group::ConnectionGroup;
pub use error::TransportError;
pub use exchange::{Exchange, ExchangeTimeouts, UpstreamBody, reason_of};
pub use fetch::{FetchedResponse, fetch, fetch_on};
pub use input_end::InputEnd;
pub use listener::{Handler, Listener, ListenerLimits};
pub use pool::{MAX_IDLE, Pool};
pub use runtime::{block_on, spawn};
pub use send_ticket::SendTicket;
pub use timeout::with_timeout;
pub use write_terms::WriteTerms;
