//! Releases of failed claims.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::RequestId;

/// Attempts whose claims are being released, bounded in number.
#[derive(Clone, Debug)]
pub(super) struct PendingReleases {
    attempts: Arc<Mutex<HashSet<RequestId>>>,
    max_pending: usize,
}

impl PendingReleases {
    pub(super) fn new(max_pending: usize) -> Self {
        Self {
            attempts: Arc::default(),
            max_pending,
        }
    }

    pub(super) fn contains(&self, attempt: RequestId) -> bool {
        self.attempts().contains(&attempt)
    }

    /// Registers the release of `attempt`. Returns `None` if it is already being
    /// released or the limit is reached.
    pub(super) fn begin(&self, attempt: RequestId) -> Option<PendingRelease> {
        let mut attempts = self.attempts();
        if attempts.len() >= self.max_pending || !attempts.insert(attempt) {
            return None;
        }
        Some(PendingRelease {
            releases: self.clone(),
            attempt,
        })
    }

    fn attempts(&self) -> MutexGuard<'_, HashSet<RequestId>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A release in progress; dropping it unregisters the attempt.
#[derive(Debug)]
pub(super) struct PendingRelease {
    releases: PendingReleases,
    attempt: RequestId,
}

impl Drop for PendingRelease {
    fn drop(&mut self) {
        self.releases.attempts().remove(&self.attempt);
    }
}

/// Runs its action when dropped, unless disarmed. Covers failed claims and claims
/// whose future is dropped.
pub(super) struct CancelGuard<F: FnMut()> {
    action: F,
    is_armed: bool,
}

impl<F: FnMut()> CancelGuard<F> {
    pub(super) fn new(action: F) -> Self {
        Self {
            action,
            is_armed: true,
        }
    }

    /// Keeps the claim: the action does not run.
    pub(super) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl<F: FnMut()> Drop for CancelGuard<F> {
    fn drop(&mut self) {
        if self.is_armed {
            (self.action)();
        }
    }
}
