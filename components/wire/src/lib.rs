//! HTTP between processes: a pooled client, a server with graceful shutdown,
//! MessagePack bodies and problem documents. Framing is left to `async-h1`.

mod bounded_stream;
mod caller;
mod client;
mod codec;
mod connection;
mod error;
mod metered;
mod observed_body;
mod open_call;
mod pool;
mod problem;
mod request_framing;
mod request_stream;
mod response_body;
mod server;
mod server_task;
mod timeout;

pub use http_types;

pub use caller::Caller;
pub use client::{Call, CallResponse, Client};
pub use codec::{decode, encode};
pub use error::WireError;
pub use metered::{Traffic, traffic};
pub use observed_body::{BodyObserver, ObservedBody};
pub use open_call::OpenCall;
pub use problem::{Outcome, Problem};
pub use response_body::{ResponseBody, read_limited};
pub use server::{Handler, InputEnd, Server, ServerLimits};
pub use server_task::ServerTask;
pub use timeout::with_timeout;
