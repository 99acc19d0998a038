//! The count of requests in flight on the node.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts requests in flight; clones share the count.
#[derive(Clone, Debug)]
pub struct InFlight {
    count: Arc<watch::Sender<usize>>,
}

impl InFlight {
    /// Creates a count of zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Counts one more request, unless `limit` are in flight.
    #[must_use]
    pub fn enter(&self, limit: usize) -> Option<InFlightGuard> {
        let entered = self.count.send_if_modified(|count| {
            let room = *count < limit;
            *count += usize::from(room);
            room
        });
        entered.then(|| InFlightGuard {
            count: Arc::clone(&self.count),
        })
    }

    /// Returns the present count.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut receiver = self.count.subscribe();
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

impl Default for InFlight {
    fn default() -> Self {
        Self::new()
    }
}

/// One request in flight; dropping it ends the count.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<watch::Sender<usize>>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
