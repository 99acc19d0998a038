//! Notices: small facts that are gossiped to every node and expire.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::Now;
use tokio::sync::{broadcast, mpsc};

use crate::error::{PeerError, PeerErrorKind};
use crate::wire;

/// Maximum number of notices that a node stores.
const MAX_NOTICES: usize = 1_024;

/// Maximum length of the key and of the value of a notice, in bytes.
const MAX_TEXT_BYTES: usize = 128;

/// Maximum time to live of a notice, in milliseconds.
const MAX_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// How many digests gossip a notice after it is stored.
const GOSSIP_REPEATS: u8 = 12;

/// How many notices are buffered for a slow subscriber before it misses some.
const SUBSCRIBER_BUFFER: usize = 256;

/// What a notice is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// A request is suspected of crashing endpoints; the key is the fingerprint of
    /// the request.
    RequestCrashes,
    /// The guard of a roll-out stopped it; the key is the version.
    GuardStop,
    /// An endpoint turned cold; the key is the endpoint's name.
    Cold,
}

/// A fact that is valid until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// What the notice is about.
    pub kind: NoticeKind,
    /// The subject; its meaning depends on the kind. At most 128 bytes.
    pub key: String,
    /// Further data; its meaning depends on the kind. At most 128 bytes.
    pub value: String,
    /// When the notice expires, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// The notices that a node has stored. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Notices {
    inner: Arc<NoticesInner>,
}

#[derive(Debug)]
struct NoticesInner {
    stored: Mutex<BTreeMap<(NoticeKind, String), StoredNotice>>,
    /// Newly stored notices, for subscribers in this process.
    added: broadcast::Sender<Notice>,
    /// Newly stored notices, to be sent to peers.
    outgoing: mpsc::UnboundedSender<Notice>,
}

#[derive(Debug)]
struct StoredNotice {
    notice: Notice,
    /// In how many more digests the notice is included.
    pending_sends: u8,
}

impl Notices {
    /// Creates an empty set; notices that are new to this node are sent to
    /// `outgoing`.
    pub(crate) fn new(outgoing: mpsc::UnboundedSender<Notice>) -> Self {
        let (added, _) = broadcast::channel(SUBSCRIBER_BUFFER);
        let inner = NoticesInner {
            stored: Mutex::default(),
            added,
            outgoing,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Publishes a notice to every node. It replaces a notice of the same kind and
    /// key that expires earlier.
    ///
    /// # Errors
    ///
    /// Fails if the key or the value is longer than 128 bytes.
    pub fn post(&self, notice: Notice, now: Now) -> Result<(), PeerError> {
        notice.check()?;
        self.merge(notice, now);
        Ok(())
    }

    /// Returns the notice of `kind` about `key`, unless it has expired.
    #[must_use]
    pub fn get(&self, kind: NoticeKind, key: &str, now: Now) -> Option<Notice> {
        let stored = self.lock();
        let found = stored.get(&(kind, key.to_owned()))?;
        found.notice.is_valid(now).then(|| found.notice.clone())
    }

    /// Subscribes to notices that are new to this node.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Notice> {
        self.inner.added.subscribe()
    }

    /// Stores a notice, of this node or of a peer, and passes it on if it is new.
    pub(crate) fn merge(&self, mut notice: Notice, now: Now) {
        notice.expires_unix_ms = notice.expires_unix_ms.min(now.unix_ms + MAX_TTL_MS);
        if !notice.is_valid(now) || !self.store(&notice, now) {
            return;
        }
        // Fails only if there is no subscriber.
        let _ = self.inner.added.send(notice.clone());
        // Fails only once the node has stopped.
        let _ = self.inner.outgoing.send(notice);
    }

    /// Returns up to `count` valid notices that still have to be gossiped and counts
    /// them as sent.
    pub(crate) fn sample(&self, count: usize, now: Now) -> Vec<wire::Notice> {
        let mut stored = self.lock();
        stored
            .values_mut()
            .filter(|stored| stored.pending_sends > 0 && stored.notice.is_valid(now))
            .take(count)
            .map(|stored| {
                stored.pending_sends -= 1;
                stored.notice.to_wire()
            })
            .collect()
    }

    /// Returns every notice that has not expired, for a peer that is starting.
    pub(crate) fn valid(&self, now: Now) -> Vec<wire::Notice> {
        self.lock()
            .values()
            .filter(|stored| stored.notice.is_valid(now))
            .map(|stored| stored.notice.to_wire())
            .collect()
    }

    /// Stores a notice unless one of the same kind and key expires no earlier;
    /// returns whether it was stored.
    fn store(&self, notice: &Notice, now: Now) -> bool {
        let mut stored = self.lock();
        let key = (notice.kind, notice.key.clone());
        let known = stored
            .get(&key)
            .is_some_and(|known| known.notice.expires_unix_ms >= notice.expires_unix_ms);
        if known {
            return false;
        }
        if stored.len() >= MAX_NOTICES {
            evict(&mut stored, now);
        }
        let entry = StoredNotice {
            notice: notice.clone(),
            pending_sends: GOSSIP_REPEATS,
        };
        stored.insert(key, entry);
        true
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(NoticeKind, String), StoredNotice>> {
        self.inner
            .stored
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes expired notices, then the one that expires first if there are still too
/// many.
fn evict(stored: &mut BTreeMap<(NoticeKind, String), StoredNotice>, now: Now) {
    stored.retain(|_, stored| stored.notice.is_valid(now));
    if stored.len() < MAX_NOTICES {
        return;
    }
    let earliest = stored
        .iter()
        .min_by_key(|(_, stored)| stored.notice.expires_unix_ms)
        .map(|(key, _)| key.clone());
    if let Some(key) = earliest {
        stored.remove(&key);
        tracing::warn!(
            event = "HH0603",
            "too many notices, dropped the one that expires first"
        );
    }
}

impl Notice {
    fn is_valid(&self, now: Now) -> bool {
        self.expires_unix_ms > now.unix_ms
    }

    fn check(&self) -> Result<(), PeerError> {
        if self.key.len() > MAX_TEXT_BYTES || self.value.len() > MAX_TEXT_BYTES {
            return Err(PeerError::new(
                PeerErrorKind::TooLarge,
                format!("notice key or value is longer than {MAX_TEXT_BYTES} bytes"),
            ));
        }
        Ok(())
    }

    pub(crate) fn to_wire(&self) -> wire::Notice {
        wire::Notice {
            kind: self.kind.number(),
            key: self.key.clone(),
            value: self.value.clone(),
            expires_unix_ms: self.expires_unix_ms,
        }
    }

    pub(crate) fn from_wire(message: wire::Notice) -> Result<Self, PeerError> {
        let notice = Self {
            kind: NoticeKind::from_number(message.kind)?,
            key: message.key,
            value: message.value,
            expires_unix_ms: message.expires_unix_ms,
        };
        notice.check()?;
        Ok(notice)
    }
}

impl NoticeKind {
    const fn number(self) -> u32 {
        match self {
            Self::RequestCrashes => 1,
            Self::GuardStop => 2,
            Self::Cold => 3,
        }
    }

    fn from_number(number: u32) -> Result<Self, PeerError> {
        [Self::RequestCrashes, Self::GuardStop, Self::Cold]
            .into_iter()
            .find(|kind| kind.number() == number)
            .ok_or_else(|| {
                PeerError::new(
                    PeerErrorKind::BadMessage,
                    format!("unknown notice kind {number}"),
                )
            })
    }
}
