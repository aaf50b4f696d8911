use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;

/// Runs `fut` for at most `limit`; `None` if it did not finish in that time.
pub async fn with_timeout<T>(limit: Duration, fut: impl Future<Output = T>) -> Option<T> {
    async { Some(fut.await) }
        .or(async {
            smol::Timer::after(limit).await;
            None
        })
        .await
}
