//! Follows the platform's records, shares them between processes when the store
//! fails some of them, and carries short notices between entries and agents.

mod feed;
mod goals;
mod goals_messages;
mod member;
mod notice;
mod peer_handler;
mod peer_messages;
mod peers;
mod post;
mod store_reader;
mod topic;

pub use feed::Feed;
pub use member::Member;
pub use notice::{EngineNotice, EntryNotice, Notice, PiecesNotice};
pub use peer_handler::{PeerHandler, PieceLookup, PieceProvider};
pub use post::NoticeSocket;
pub use topic::Role;
