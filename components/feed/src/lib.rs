//! Reads the platform's records, shares them between processes when some of them
//! cannot reach the store, and sends notices between entries and agents.

mod batch;
mod feed;
mod member;
mod notice;
mod notice_socket;
mod peer_handler;
mod peer_messages;
mod peers;
mod restored;
mod store_reader;
mod targets;
mod targets_messages;
mod topic;

pub use feed::Feed;
pub use member::Member;
pub use notice::{EngineNotice, EntryNotice, LimitNotice, Notice, PiecesNotice, StoppingNotice};
pub use notice_socket::NoticeSocket;
pub use peer_handler::{PeerHandler, PieceLookup, PieceProvider};
pub use topic::Role;
