//! A row of the member table and its merge rules.

use hemlockhitch_model::Now;

use super::{Health, Member, MemberState, Status};

/// How many digests gossip an entry after a change.
pub(super) const GOSSIP_REPEATS: u8 = 12;

/// How long a dead member that is not in the VM list is kept, in milliseconds, so
/// that delayed gossip does not bring it back.
const TOMBSTONE_MS: u64 = 600_000;

/// A member and the gossip state of its entry.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) member: Member,
    /// When the health last changed, on the monotonic clock.
    pub(super) health_since_mono_ms: u64,
    /// In how many more digests the entry is gossiped with priority.
    pub(super) pending_sends: u8,
}

impl Row {
    pub(super) fn new(member: Member) -> Self {
        Self {
            member,
            health_since_mono_ms: 0,
            pending_sends: 0,
        }
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.member.status.map_or(0, |status| status.incarnation)
    }

    /// Returns whether the entry is sent in digests. A dead member is sent only while
    /// its death is new, and to the member itself, so that it can refute it.
    pub(super) fn should_gossip(&self, to_self: bool) -> bool {
        self.member.status.is_some_and(|status| {
            status.health != Health::Dead || self.pending_sends > 0 || to_self
        })
    }

    /// Merges an update: a higher incarnation replaces the status; within one
    /// incarnation, health and state only advance in their order.
    pub(super) fn merge(&mut self, update: Status, now: Now) {
        let Some(known) = self.member.status.as_mut() else {
            self.member.status = Some(update);
            self.health_since_mono_ms = now.mono_ms;
            self.pending_sends = GOSSIP_REPEATS;
            return;
        };
        if update.incarnation < known.incarnation {
            return;
        }
        let before = *known;
        if update.incarnation > known.incarnation {
            *known = update;
        } else {
            known.heartbeat = known.heartbeat.max(update.heartbeat);
            known.generation = known.generation.max(update.generation);
            known.state = known.state.max(update.state);
            known.health = known.health.max(update.health);
        }
        if known.health != before.health {
            self.health_since_mono_ms = now.mono_ms;
        }
        let unchanged = Status {
            heartbeat: known.heartbeat,
            ..before
        };
        if *known != unchanged {
            self.pending_sends = GOSSIP_REPEATS;
        }
    }

    pub(super) fn expire_suspicion(&mut self, suspicion_ms: u64, now: Now) {
        let Some(status) = self.member.status.as_mut() else {
            return;
        };
        let suspected_ms = now.mono_ms.saturating_sub(self.health_since_mono_ms);
        if status.health == Health::Suspect && suspected_ms >= suspicion_ms {
            status.health = Health::Dead;
            self.health_since_mono_ms = now.mono_ms;
            self.pending_sends = GOSSIP_REPEATS;
            tracing::warn!(event = "HH0602", node = %self.member.identity.name, "member declared dead");
        }
    }

    pub(super) fn is_expired(&self, now: Now) -> bool {
        let ended = self.member.status.is_none_or(|status| {
            status.health == Health::Dead || status.state == MemberState::Gone
        });
        let ended_ms = now.mono_ms.saturating_sub(self.health_since_mono_ms);
        ended && !self.member.listed && ended_ms >= TOMBSTONE_MS
    }
}
