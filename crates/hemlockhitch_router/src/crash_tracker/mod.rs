//! Counts of endpoint crashes per request, to stop requests that crash the
//! endpoints that run them.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::Now;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest of a request's messages; it does not depend on the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a chat completion.
    #[must_use]
    pub fn of(request: &ChatRequest) -> Self {
        let mut digest = Sha256::new();
        for message in &request.messages {
            digest.update(message.role.as_bytes());
            digest.update([0]);
            digest.update(message.content.as_bytes());
            digest.update([0]);
        }
        let bytes = digest.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&bytes[..8]);
        Self(u64::from_be_bytes(first))
    }
}

/// Number of endpoint crashes after which a request is refused.
pub const MAX_CRASHES_PER_REQUEST: u32 = 2;

/// How long the crash count of a request is kept after its last crash, in
/// milliseconds.
pub const CRASH_RECORD_TTL_MS: u64 = 3_600_000;

/// Tracks how many endpoints crashed while they ran a request.
pub trait CrashTracker: Clone + Send + Sync + 'static {
    /// Returns the number of crashes recorded for the request.
    fn crash_count(&self, request: RequestFingerprint, now: Now) -> u32;

    /// Records a crash and returns the new number of crashes.
    fn record_crash(
        &self,
        request: RequestFingerprint,
        now: Now,
    ) -> impl Future<Output = u32> + Send;

    /// Resets the count of a request that an endpoint completed.
    fn record_success(&self, request: RequestFingerprint, now: Now);
}

/// Tracks the crashes seen by this node only.
#[derive(Clone, Debug, Default)]
pub struct LocalCrashTracker {
    records: Arc<Mutex<HashMap<RequestFingerprint, CrashRecord>>>,
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crash_count: u32,
    expires_mono_ms: u64,
}

impl LocalCrashTracker {
    /// Creates a tracker without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl CrashTracker for LocalCrashTracker {
    fn crash_count(&self, request: RequestFingerprint, now: Now) -> u32 {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .get(&request)
            .filter(|record| now.mono_ms < record.expires_mono_ms)
            .map_or(0, |record| record.crash_count)
    }

    async fn record_crash(&self, request: RequestFingerprint, now: Now) -> u32 {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.retain(|_, record| now.mono_ms < record.expires_mono_ms);
        let record = records.entry(request).or_insert(CrashRecord {
            crash_count: 0,
            expires_mono_ms: 0,
        });
        record.crash_count += 1;
        record.expires_mono_ms = now.mono_ms + CRASH_RECORD_TTL_MS;
        record.crash_count
    }

    fn record_success(&self, request: RequestFingerprint, _now: Now) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.remove(&request);
    }
}
