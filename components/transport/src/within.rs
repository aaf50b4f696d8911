use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

/// The future's output, or `None` when `limit` passes first.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    async { Some(future.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}
