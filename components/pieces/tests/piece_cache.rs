//! The limit on concurrent uploads.

use bytes::Bytes;
use feed::PieceLookup;
use pieces::PieceCache;
use transport::{block_on, spawn};

/// An agent that serves staged pieces has none in memory, so it does not know
/// their length. The limit must hold on its narrow link all the same.
#[test]
fn limits_uploads_of_staged_pieces_on_a_narrow_link() {
    block_on(async {
        let cache = std::sync::Arc::new(PieceCache::new(950_000.0));
        let staged = || async { Some(Bytes::from(vec![0; 32_768])) };
        let channel = async_channel::unbounded();

        for number in 0..6 {
            let (cache, done) = (cache.clone(), channel.0.clone());
            spawn(async move {
                let lookup = cache.upload("m", 1, number, staged()).await;
                // The receiver outlives the tasks.
                let _ = done.send(lookup).await;
            })
            .detach();
        }
        let mut lookups = Vec::new();
        for _ in 0..6 {
            lookups.push(channel.1.recv().await.unwrap());
        }

        let refused = lookups.iter().filter(|a| **a == PieceLookup::Busy);
        assert!(refused.count() >= 3);
    });
}
