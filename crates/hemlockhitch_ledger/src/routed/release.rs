//! Failed claims whose keys are being freed.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::RequestId;

/// The attempts whose claims are being released, bounded in number.
#[derive(Clone, Debug)]
pub(super) struct Releases {
    attempts: Arc<Mutex<HashSet<RequestId>>>,
    max: usize,
}

impl Releases {
    pub(super) fn new(max: usize) -> Self {
        Self {
            attempts: Arc::default(),
            max,
        }
    }

    pub(super) fn contains(&self, attempt: RequestId) -> bool {
        self.attempts().contains(&attempt)
    }

    /// Notes that `attempt` is being released, unless there is no room.
    pub(super) fn begin(&self, attempt: RequestId) -> Option<Release> {
        let mut attempts = self.attempts();
        if attempts.len() >= self.max || !attempts.insert(attempt) {
            return None;
        }
        Some(Release {
            releases: self.clone(),
            attempt,
        })
    }

    fn attempts(&self) -> MutexGuard<'_, HashSet<RequestId>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A release that is under way.
#[derive(Debug)]
pub(super) struct Release {
    releases: Releases,
    attempt: RequestId,
}

impl Drop for Release {
    fn drop(&mut self) {
        self.releases.attempts().remove(&self.attempt);
    }
}

/// Runs its action when a claim is given up, also by dropping its future.
pub(super) struct ReleaseGuard<F: FnMut()> {
    action: F,
    is_armed: bool,
}

impl<F: FnMut()> ReleaseGuard<F> {
    pub(super) fn new(action: F) -> Self {
        Self {
            action,
            is_armed: true,
        }
    }

    /// Lets the claim stand.
    pub(super) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl<F: FnMut()> Drop for ReleaseGuard<F> {
    fn drop(&mut self) {
        if self.is_armed {
            (self.action)();
        }
    }
}
