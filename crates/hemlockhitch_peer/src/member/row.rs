//! One member in the table, and how news changes it.

use hemlockhitch_model::Now;

use super::{Health, Member, MemberState, Status};

/// How many messages repeat an entry after it changed.
pub(super) const NEWS_REPEATS: u8 = 12;

/// How long a dead member that the VM list does not name is remembered, so
/// that old news does not bring it back, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;

/// A member and what this node has observed of it.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) member: Member,
    /// When the health last changed, on the monotonic clock.
    pub(super) health_since_ms: u64,
    /// How many more messages repeat the entry as news.
    pub(super) news: u8,
}

impl Row {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            health_since_ms: 0,
            news: 0,
        }
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.member.status.map_or(0, |status| status.incarnation)
    }

    pub(super) fn is_told(&self, to_itself: bool) -> bool {
        self.member
            .status
            .is_some_and(|status| status.health != Health::Dead || self.news > 0 || to_itself)
    }

    /// Takes in news: a higher incarnation replaces the entry; within one
    /// incarnation health and state only get worse.
    pub(super) fn merge(&mut self, news: Status, now: Now) {
        let Some(known) = self.member.status.as_mut() else {
            self.member.status = Some(news);
            self.health_since_ms = now.mono_ms;
            self.news = NEWS_REPEATS;
            return;
        };
        if news.incarnation < known.incarnation {
            return;
        }
        let before = *known;
        if news.incarnation > known.incarnation {
            *known = news;
        } else {
            known.heartbeat = known.heartbeat.max(news.heartbeat);
            known.generation = known.generation.max(news.generation);
            known.state = known.state.max(news.state);
            known.health = known.health.max(news.health);
        }
        if known.health != before.health {
            self.health_since_ms = now.mono_ms;
        }
        let quiet = Status {
            heartbeat: known.heartbeat,
            ..before
        };
        if *known != quiet {
            self.news = NEWS_REPEATS;
        }
    }

    pub(super) fn expire_suspicion(&mut self, suspicion_ms: u64, now: Now) {
        let Some(status) = self.member.status.as_mut() else {
            return;
        };
        let suspected_ms = now.mono_ms.saturating_sub(self.health_since_ms);
        if status.health == Health::Suspect && suspected_ms >= suspicion_ms {
            status.health = Health::Dead;
            self.health_since_ms = now.mono_ms;
            self.news = NEWS_REPEATS;
            tracing::warn!(event = "HH0602", node = %self.member.identity.name, "member dead");
        }
    }

    pub(super) fn is_forgotten(&self, now: Now) -> bool {
        let ended = self.member.status.is_none_or(|status| {
            status.health == Health::Dead || status.state == MemberState::Gone
        });
        let silent_ms = now.mono_ms.saturating_sub(self.health_since_ms);
        ended && !self.member.listed && silent_ms >= TOMBSTONE_MS
    }
}
