//! Notices: small facts that every node should know for a while.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::Now;
use tokio::sync::{broadcast, mpsc};

use crate::error::{PeerError, PeerErrorKind};
use crate::wire;

/// The most notices that a node keeps.
const MAX_NOTICES: usize = 1_024;

/// The longest key or value of a notice, in bytes.
const MAX_TEXT_BYTES: usize = 128;

/// The longest time that a notice holds, in milliseconds.
const MAX_VALIDITY_MS: u64 = 24 * 60 * 60 * 1_000;

/// How many messages repeat a notice after it is learnt.
const NEWS_REPEATS: u8 = 12;

/// How many notices a subscriber may lag behind.
const SUBSCRIBER_LAG: usize = 256;

/// What a notice is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeKind {
    /// A request is suspected of crashing endpoints; the key is its fingerprint.
    Poison,
    /// A roll-out was stopped by its guard; the key is the version.
    GuardStop,
    /// An endpoint turned cold; the key is its name.
    Cold,
}

/// A fact that holds until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// What it is about.
    pub kind: NoticeKind,
    /// Whom it is about.
    pub key: String,
    /// What is said.
    pub value: String,
    /// Until when it holds, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// The notices that a node knows; clones share them.
#[derive(Clone, Debug)]
pub struct Notices {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    kept: Mutex<BTreeMap<(NoticeKind, String), Kept>>,
    learnt: broadcast::Sender<Notice>,
    outgoing: mpsc::UnboundedSender<Notice>,
}

#[derive(Debug)]
struct Kept {
    notice: Notice,
    news: u8,
}

impl Notices {
    /// Creates an empty set; what is learnt goes to `outgoing` for peers.
    pub(crate) fn new(outgoing: mpsc::UnboundedSender<Notice>) -> Self {
        let (learnt, _) = broadcast::channel(SUBSCRIBER_LAG);
        let shared = Shared {
            kept: Mutex::default(),
            learnt,
            outgoing,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Tells every node a fact; a later expiry replaces an earlier one.
    ///
    /// # Errors
    ///
    /// Fails when a text is longer than 128 bytes.
    pub fn post(&self, notice: Notice, now: Now) -> Result<(), PeerError> {
        notice.check()?;
        self.learn(notice, now);
        Ok(())
    }

    /// Returns the notice of `kind` about `key`, unless it has expired.
    #[must_use]
    pub fn get(&self, kind: NoticeKind, key: &str, now: Now) -> Option<Notice> {
        let kept = self.lock();
        let found = kept.get(&(kind, key.to_owned()))?;
        found.notice.is_valid(now).then(|| found.notice.clone())
    }

    /// Follows the notices as they are learnt.
    #[must_use]
    pub fn subscribe(&self) -> broadcast::Receiver<Notice> {
        self.shared.learnt.subscribe()
    }

    /// Takes in a notice of a peer.
    pub(crate) fn learn(&self, mut notice: Notice, now: Now) {
        notice.expires_unix_ms = notice.expires_unix_ms.min(now.unix_ms + MAX_VALIDITY_MS);
        if !notice.is_valid(now) || !self.keep(&notice, now) {
            return;
        }
        // Without a subscriber there is nobody to tell.
        let _ = self.shared.learnt.send(notice.clone());
        // The node has stopped when nobody spreads notices.
        let _ = self.shared.outgoing.send(notice);
    }

    /// Chooses up to `count` notices that are still news.
    pub(crate) fn sample(&self, count: usize, now: Now) -> Vec<wire::Notice> {
        let mut kept = self.lock();
        kept.values_mut()
            .filter(|kept| kept.news > 0 && kept.notice.is_valid(now))
            .take(count)
            .map(|kept| {
                kept.news -= 1;
                kept.notice.to_wire()
            })
            .collect()
    }

    /// Returns every notice that holds, for a peer that starts.
    pub(crate) fn valid(&self, now: Now) -> Vec<wire::Notice> {
        self.lock()
            .values()
            .filter(|kept| kept.notice.is_valid(now))
            .map(|kept| kept.notice.to_wire())
            .collect()
    }

    fn keep(&self, notice: &Notice, now: Now) -> bool {
        let mut kept = self.lock();
        let key = (notice.kind, notice.key.clone());
        let known = kept
            .get(&key)
            .is_some_and(|known| known.notice.expires_unix_ms >= notice.expires_unix_ms);
        if known {
            return false;
        }
        if kept.len() >= MAX_NOTICES {
            make_room(&mut kept, now);
        }
        let entry = Kept {
            notice: notice.clone(),
            news: NEWS_REPEATS,
        };
        kept.insert(key, entry);
        true
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(NoticeKind, String), Kept>> {
        self.shared
            .kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops what has expired, and the notice that expires first if all hold.
fn make_room(kept: &mut BTreeMap<(NoticeKind, String), Kept>, now: Now) {
    kept.retain(|_, kept| kept.notice.is_valid(now));
    if kept.len() < MAX_NOTICES {
        return;
    }
    let first = kept
        .iter()
        .min_by_key(|(_, kept)| kept.notice.expires_unix_ms)
        .map(|(key, _)| key.clone());
    if let Some(key) = first {
        kept.remove(&key);
        tracing::warn!(event = "HH0603", "notice dropped, too many are in force");
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
                format!("key and value of a notice take up to {MAX_TEXT_BYTES} bytes"),
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
            Self::Poison => 1,
            Self::GuardStop => 2,
            Self::Cold => 3,
        }
    }

    fn from_number(number: u32) -> Result<Self, PeerError> {
        [Self::Poison, Self::GuardStop, Self::Cold]
            .into_iter()
            .find(|kind| kind.number() == number)
            .ok_or_else(|| {
                PeerError::new(
                    PeerErrorKind::BadMessage,
                    format!("unknown kind of notice {number}"),
                )
            })
    }
}
