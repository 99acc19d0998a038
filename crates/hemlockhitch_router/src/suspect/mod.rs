//! Requests that are suspected of crashing the endpoints that run them.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::Now;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest of a request's content, the same whoever sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
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

/// How many endpoints may fall to one request.
pub const MAX_CRASHES: u32 = 2;

/// How long a suspicion lasts, in milliseconds.
pub const SUSPICION_MS: u64 = 3_600_000;

/// Remembers how many endpoints crashed while they ran a request.
pub trait Suspects: Clone + Send + Sync + 'static {
    /// Returns the number of endpoints that crashed under the request.
    fn crashes(&self, request: Fingerprint, now: Now) -> u32;

    /// Records one more crash and returns the number.
    fn crashed(&self, request: Fingerprint, now: Now) -> impl Future<Output = u32> + Send;

    /// Clears the suspicion of a request that an endpoint has served.
    fn served(&self, request: Fingerprint, now: Now);
}

/// Remembers the crashes that this node has seen.
#[derive(Clone, Debug, Default)]
pub struct LocalSuspects {
    crashes: Arc<Mutex<HashMap<Fingerprint, Suspicion>>>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    crashes: u32,
    until_mono_ms: u64,
}

impl LocalSuspects {
    /// Creates an empty memory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Suspects for LocalSuspects {
    fn crashes(&self, request: Fingerprint, now: Now) -> u32 {
        let crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes
            .get(&request)
            .filter(|suspicion| now.mono_ms < suspicion.until_mono_ms)
            .map_or(0, |suspicion| suspicion.crashes)
    }

    async fn crashed(&self, request: Fingerprint, now: Now) -> u32 {
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.retain(|_, suspicion| now.mono_ms < suspicion.until_mono_ms);
        let suspicion = crashes.entry(request).or_insert(Suspicion {
            crashes: 0,
            until_mono_ms: 0,
        });
        suspicion.crashes += 1;
        suspicion.until_mono_ms = now.mono_ms + SUSPICION_MS;
        suspicion.crashes
    }

    fn served(&self, request: Fingerprint, _now: Now) {
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.remove(&request);
    }
}
