//! Follows the platform's records, shares them between processes when the store
//! fails some of them, and carries short notices between entries and agents.

mod feed;
mod member;
mod notice;
mod peer_handler;
mod peer_messages;
mod post;

pub use feed::{Feed, Role};
pub use member::Member;
pub use notice::{EngineNotice, EntryNotice, Notice, PiecesNotice};
pub use peer_handler::{PeerHandler, PieceAnswer, PieceShelf};
pub use post::Post;
