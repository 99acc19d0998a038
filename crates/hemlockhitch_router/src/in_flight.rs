//! Counter of the requests in flight on the node.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts requests in flight; clones share the counter.
#[derive(Clone, Debug)]
pub struct InFlight {
    count: Arc<watch::Sender<usize>>,
}

impl InFlight {
    /// Creates a counter that starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Adds a request to the count; returns `None` when `limit` requests are
    /// already in flight.
    #[must_use]
    pub fn try_acquire(&self, limit: usize) -> Option<InFlightGuard> {
        let acquired = self.count.send_if_modified(|count| {
            let below_limit = *count < limit;
            *count += usize::from(below_limit);
            below_limit
        });
        acquired.then(|| InFlightGuard {
            count: Arc::clone(&self.count),
        })
    }

    /// Returns the current number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut receiver = self.count.subscribe();
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

impl Default for InFlight {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts as one request in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<watch::Sender<usize>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
