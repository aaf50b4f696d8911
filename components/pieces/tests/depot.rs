//! Who gets a piece, and how many at a time.

use bytes::Bytes;
use feed::PieceLookup;
use pieces::Depot;
use transport::{block_on, spawn};

/// A loader that serves staged pieces has none in memory; its link is as narrow.
#[test]
fn staged_pieces_leave_a_narrow_link_two_at_a_time() {
    block_on(async {
        let depot = std::sync::Arc::new(Depot::new(950_000.0));
        let staged = || async { Some(Bytes::from(vec![0; 32_768])) };
        let busy = async_channel::unbounded();

        for number in 0..6 {
            let (depot, done) = (depot.clone(), busy.0.clone());
            spawn(async move {
                let answer = depot.give("m", 1, number, staged()).await;
                // The receiver outlives the tasks.
                let _ = done.send(answer).await;
            })
            .detach();
        }
        let mut answers = Vec::new();
        for _ in 0..6 {
            answers.push(busy.1.recv().await.unwrap());
        }

        let refused = answers.iter().filter(|a| **a == PieceLookup::Busy);
        assert!(refused.count() >= 3);
    });
}
