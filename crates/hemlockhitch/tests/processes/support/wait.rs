//! Polling with a timeout.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(90);

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until `poll` returns a value, and panics with `description` on a timeout.
pub async fn wait_for<T, F>(description: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for: {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls until `poll` returns true, and panics with `description` on a timeout.
pub async fn wait_until<F>(description: &str, mut poll: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    wait_for(description, || {
        let poll_result = poll();
        async { poll_result.await.then_some(()) }
    })
    .await;
}
