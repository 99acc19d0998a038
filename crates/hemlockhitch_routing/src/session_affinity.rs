//! Session affinity to versions.

use std::collections::HashMap;

use hemlockhitch_model::{Now, VersionName};

/// Number of sessions from which expired ones are removed.
const MIN_SWEEP_SIZE: usize = 4_096;

/// Records which version served each session last, so that a session does not change
/// versions between requests in close succession.
#[derive(Clone, Debug)]
pub struct SessionAffinity {
    ttl_ms: u64,
    by_session: HashMap<u64, SessionEntry>,
    sweep_size: usize,
}

#[derive(Clone, Debug)]
struct SessionEntry {
    version: VersionName,
    last_mono_ms: u64,
}

impl SessionAffinity {
    /// Creates an empty map whose sessions expire `ttl_ms` milliseconds after their
    /// last request.
    #[must_use]
    pub fn new(ttl_ms: u64) -> Self {
        Self {
            ttl_ms,
            by_session: HashMap::new(),
            sweep_size: MIN_SWEEP_SIZE,
        }
    }

    /// Records that a version serves a session.
    pub fn record(&mut self, session: u64, version: &VersionName, now: Now) {
        let entry = SessionEntry {
            version: version.clone(),
            last_mono_ms: now.mono_ms,
        };
        self.by_session.insert(session, entry);
        if self.by_session.len() >= self.sweep_size {
            let ttl_ms = self.ttl_ms;
            self.by_session
                .retain(|_, entry| now.mono_ms.saturating_sub(entry.last_mono_ms) <= ttl_ms);
            self.sweep_size = MIN_SWEEP_SIZE.max(2 * self.by_session.len());
        }
    }

    /// Returns the version that served a session last, unless the session has expired.
    #[must_use]
    pub fn version(&self, session: u64, now: Now) -> Option<&VersionName> {
        let entry = self.by_session.get(&session)?;
        let age_ms = now.mono_ms.saturating_sub(entry.last_mono_ms);
        (age_ms <= self.ttl_ms).then_some(&entry.version)
    }

    /// Iterates over the sessions that have not expired.
    pub fn recent(&self, now: Now) -> impl Iterator<Item = u64> {
        let is_recent = move |entry: &SessionEntry| {
            now.mono_ms.saturating_sub(entry.last_mono_ms) <= self.ttl_ms
        };
        let recent = self.by_session.iter();
        recent
            .filter(move |(_, entry)| is_recent(entry))
            .map(|(session, _)| *session)
    }
}
