//! Requests that may crash the endpoints that run them.

use std::collections::HashMap;

use hemlockhitch_model::Now;

/// Endpoints that one request may have crashed before it is refused.
pub const CRASHES_MOST: u32 = 2;

/// How long a suspicion is kept, in milliseconds.
const KEEP_MS: u64 = 60_000;

/// Suspicions kept before the lapsed ones are dropped.
const SWEEP_AT: usize = 1_024;

/// The requests after which endpoints broke off, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    seen: HashMap<u64, Suspicion>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    crashes: u32,
    last_mono_ms: u64,
}

impl Suspects {
    /// Takes in that an endpoint broke off under a request; returns how often that
    /// was seen.
    pub fn note(&mut self, fingerprint: u64, now: Now) -> u32 {
        let suspicion = self.seen.entry(fingerprint).or_insert(Suspicion {
            crashes: 0,
            last_mono_ms: now.mono_ms,
        });
        suspicion.crashes += 1;
        suspicion.last_mono_ms = now.mono_ms;
        let crashes = suspicion.crashes;
        if self.seen.len() > SWEEP_AT {
            self.seen
                .retain(|_, suspicion| now.mono_ms < suspicion.last_mono_ms + KEEP_MS);
        }
        crashes
    }

    /// Takes in how often another node saw it.
    pub fn learn(&mut self, fingerprint: u64, crashes: u32, now: Now) {
        let suspicion = self.seen.entry(fingerprint).or_insert(Suspicion {
            crashes,
            last_mono_ms: now.mono_ms,
        });
        suspicion.crashes = suspicion.crashes.max(crashes);
        suspicion.last_mono_ms = now.mono_ms;
    }

    /// Takes in that a request was answered well, and so is no cause of crashes.
    pub fn clear(&mut self, fingerprint: u64) {
        self.seen.remove(&fingerprint);
    }

    /// Returns whether a request is sent nowhere any more.
    #[must_use]
    pub fn is_barred(&self, fingerprint: u64, now: Now) -> bool {
        self.seen.get(&fingerprint).is_some_and(|suspicion| {
            suspicion.crashes > CRASHES_MOST && now.mono_ms < suspicion.last_mono_ms + KEEP_MS
        })
    }
}
