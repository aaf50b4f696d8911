use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;

/// Runs `fut` for at most `limit`; `None` when the limit passed first.
pub async fn with_timeout<T>(limit: Duration, fut: impl Future<Output = T>) -> Option<T> {
    async { Some(fut.await) }
        .or(async {
            smol::Timer::after(limit).await;
            None
        })
        .await
}
