//! Detection of requests that crash the endpoints they run on.

use std::collections::HashMap;

use hemlockhitch_model::Now;

/// Crashes that one request may cause before it is blocked.
pub const MAX_CRASHES: u32 = 2;

/// Retention of a crash record after its last update, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Number of crash records above which expired ones are removed.
const SWEEP_SIZE: usize = 1_024;

/// Crash counts of requests, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: HashMap<u64, CrashRecord>,
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u32,
    last_mono_ms: u64,
}

impl CrashTracker {
    /// Records that an endpoint disconnected while it ran a request; returns the number
    /// of crashes recorded for the request.
    pub fn record_crash(&mut self, fingerprint: u64, now: Now) -> u32 {
        let record = self.records.entry(fingerprint).or_insert(CrashRecord {
            crashes: 0,
            last_mono_ms: now.mono_ms,
        });
        record.crashes += 1;
        record.last_mono_ms = now.mono_ms;
        let crashes = record.crashes;
        if self.records.len() > SWEEP_SIZE {
            self.records
                .retain(|_, record| now.mono_ms < record.last_mono_ms + RETENTION_MS);
        }
        crashes
    }

    /// Merges the number of crashes that another node recorded.
    pub fn merge_peer(&mut self, fingerprint: u64, crashes: u32, now: Now) {
        let record = self.records.entry(fingerprint).or_insert(CrashRecord {
            crashes,
            last_mono_ms: now.mono_ms,
        });
        record.crashes = record.crashes.max(crashes);
        record.last_mono_ms = now.mono_ms;
    }

    /// Removes a request's crash record after a good response, which shows that it is
    /// not the cause of the crashes.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request is blocked, that is, sent to no endpoint.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64, now: Now) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.crashes > MAX_CRASHES && now.mono_ms < record.last_mono_ms + RETENTION_MS
        })
    }
}
