use std::future::Future;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;

/// Waits for a future for at most `limit`; `None` if it is not ready by then.
pub async fn with_timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    async { Some(future.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}
