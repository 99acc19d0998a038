//! The version that each recent session was served by.

use std::collections::HashMap;

use hemlockhitch_model::{Now, VersionName};

/// Entries kept before those that lapsed are dropped.
const SWEEP_AT: usize = 4_096;

/// Remembers which version served a session last, so that a session does not
/// move between versions while its requests follow each other closely.
#[derive(Clone, Debug)]
pub struct Sessions {
    keep_ms: u64,
    served: HashMap<u64, Served>,
    sweep_at: usize,
}

#[derive(Clone, Debug)]
struct Served {
    version: VersionName,
    last_mono_ms: u64,
}

impl Sessions {
    /// Creates an empty memory that keeps a session for `keep_ms` after its last
    /// request.
    #[must_use]
    pub fn new(keep_ms: u64) -> Self {
        Self {
            keep_ms,
            served: HashMap::new(),
            sweep_at: SWEEP_AT,
        }
    }

    /// Notes that a session is being served by a version.
    pub fn note(&mut self, session: u64, version: &VersionName, now: Now) {
        let served = Served {
            version: version.clone(),
            last_mono_ms: now.mono_ms,
        };
        self.served.insert(session, served);
        if self.served.len() >= self.sweep_at {
            let keep_ms = self.keep_ms;
            self.served
                .retain(|_, served| now.mono_ms.saturating_sub(served.last_mono_ms) <= keep_ms);
            self.sweep_at = SWEEP_AT.max(2 * self.served.len());
        }
    }

    /// Returns the version that served the session within the time kept.
    #[must_use]
    pub fn version(&self, session: u64, now: Now) -> Option<&VersionName> {
        let served = self.served.get(&session)?;
        let age_ms = now.mono_ms.saturating_sub(served.last_mono_ms);
        (age_ms <= self.keep_ms).then_some(&served.version)
    }

    /// Returns the sessions that were served within the time kept.
    pub fn recent(&self, now: Now) -> impl Iterator<Item = u64> {
        let is_recent =
            move |served: &Served| now.mono_ms.saturating_sub(served.last_mono_ms) <= self.keep_ms;
        let recent = self.served.iter();
        recent
            .filter(move |(_, served)| is_recent(served))
            .map(|(session, _)| *session)
    }
}
