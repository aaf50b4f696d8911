//! The limit on concurrent uploads, and the digests that other processes get.

use bytes::Bytes;
use feed::{PieceLookup, PieceProvider};
use pieces::PieceCache;
use transport::{block_on, spawn};

/// An agent that serves staged pieces has none in memory, so their length
/// is unknown. The limit must hold on its narrow link all the same.
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

        let refused = lookups.iter().filter(|l| **l == PieceLookup::Busy);
        assert!(refused.count() >= 3);
    });
}

/// A process passed on the list that it had read from the origin also after it had agreed
/// with others on another one, as a vote for a wrong list.
#[test]
fn digests_on_which_sources_agree_are_passed_on() {
    let cache = PieceCache::new(950_000.0);
    let (read, agreed) = (vec![[1; 32]], vec![[2; 32]]);
    cache.store_origin_digests("m", 1, read.clone());

    let before = cache.digests("m", 1);
    cache.trust_digests("m", 1, agreed.clone());
    let after = cache.digests("m", 1);

    assert_eq!((before, after), (Some(read), Some(agreed)));
}
