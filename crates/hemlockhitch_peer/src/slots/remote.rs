//! Slots that are requested from the owners of endpoints.

use std::sync::Arc;

use hemlockhitch_model::{EndpointName, NodeName, Now};
use hemlockhitch_policy::concurrency_limit::LimitSignal;
use tokio::sync::mpsc;

use super::cold::announce_cold;
use super::{GrantAnswer, ShareAnswer, Slot, SlotRefusal, SlotReport, SlotRequest, Slots};
use crate::hash::{combine, hash_text, rendezvous};
use crate::member::{Member, NodeId};
use crate::notice::NoticeKind;
use crate::ownership::Owner;
use crate::shared::Shared;
use crate::wire;

/// Maximum number of owners asked for one slot before falling back to the fixed share.
const MAX_OWNER_ATTEMPTS: usize = 2;

/// Stands in for the time of a slot that was dropped without a report. Such a slot
/// is never reused, so its time is not read.
const ZERO_TIME: Now = Now {
    mono_ms: 0,
    unix_ms: 0,
};

/// Acquires slots from the owners of endpoints, or from the fixed share if an owner
/// is unavailable. Clones share the same state.
#[derive(Clone, Debug)]
pub struct PeerSlots {
    shared: Arc<Shared>,
    released: mpsc::UnboundedSender<ReleasedSlot>,
}

/// A released slot, queued for its owner.
#[derive(Debug)]
pub(crate) struct ReleasedSlot {
    pub(crate) grant_id: u64,
    pub(crate) endpoint: EndpointName,
    /// Number of slots of the grant to return.
    pub(crate) slots: u32,
    pub(crate) report: Option<SlotReport>,
}

/// A slot acquired from [`PeerSlots`].
#[derive(Debug)]
pub struct PeerSlot {
    slots: PeerSlots,
    grant_id: u64,
    endpoint: EndpointName,
    /// Set when the request has finished; `None` if the slot is dropped before.
    finished: Option<(SlotReport, Now)>,
    /// Whether the slot was newly requested, rather than a free slot that was reused.
    requested: bool,
}

/// Result of requesting a slot from one owner.
enum GrantOutcome {
    Granted,
    Full,
    /// The owner cannot decide or cannot be reached; the fixed share may be used.
    Unavailable,
    /// Another node owns the endpoint.
    NotOwner,
}

impl PeerSlots {
    pub(crate) fn new(shared: Arc<Shared>, released: mpsc::UnboundedSender<ReleasedSlot>) -> Self {
        Self { shared, released }
    }

    /// Updates the concurrency limit of an endpoint from a signal, if this node owns
    /// the endpoint; returns whether it does.
    pub fn observe(&self, endpoint: &EndpointName, signal: LimitSignal, now: Now) -> bool {
        let observed = self.shared.run_if_owner(endpoint, now, |grant_table| {
            grant_table.observe(endpoint, signal, now)
        });
        if observed == Some(true) {
            announce_cold(&self.shared, endpoint, now);
        }
        observed.is_some()
    }

    async fn request_grant(&self, request: &SlotRequest, grant_id: u64, now: Now) -> GrantOutcome {
        let bucket = self.shared.ownership.endpoint_bucket(&request.endpoint);
        match self.shared.ownership.owner(bucket, now) {
            Owner::Local { .. } => self.grant_locally(request, grant_id, now),
            // An owner that is suspected dead is not called: the request would wait
            // for the timeout.
            Owner::Remote { node, address } if self.is_alive(&node) => {
                self.request_from_owner(&address, request, grant_id, now)
                    .await
            }
            Owner::Remote { .. } | Owner::Unknown => GrantOutcome::Unavailable,
        }
    }

    fn is_alive(&self, node: &NodeName) -> bool {
        let members = self.shared.members();
        members.get(NodeId::of(node)).is_some_and(Member::is_alive)
    }

    fn grant_locally(&self, request: &SlotRequest, grant_id: u64, now: Now) -> GrantOutcome {
        let own_id = self.shared.own_id;
        let answer = self
            .shared
            .run_if_owner(&request.endpoint, now, |grant_table| {
                grant_table.grant(own_id, grant_id, request, now)
            });
        match answer {
            Some(GrantAnswer::Granted { slots, warm }) => {
                self.record_grant(request, grant_id, slots, warm, now);
                GrantOutcome::Granted
            }
            Some(GrantAnswer::Full) => GrantOutcome::Full,
            Some(GrantAnswer::Closed) | None => GrantOutcome::Unavailable,
        }
    }

    async fn request_from_owner(
        &self,
        address: &str,
        request: &SlotRequest,
        grant_id: u64,
        now: Now,
    ) -> GrantOutcome {
        let message = wire::GrantRequest {
            node_id: self.shared.own_id.0,
            grant_id,
            endpoint: request.endpoint.to_string(),
            cold_limit: request.cold_limit,
            warm_limit: request.warm_limit,
        };
        let Ok(reply) = self.shared.clients.grant(address, message).await else {
            return GrantOutcome::Unavailable;
        };
        match reply.answer() {
            wire::GrantAnswer::Granted => {
                self.record_grant(request, grant_id, reply.slots.max(1), reply.warm, now);
                GrantOutcome::Granted
            }
            wire::GrantAnswer::Full => GrantOutcome::Full,
            wire::GrantAnswer::NotOwner => {
                let bucket = self.shared.ownership.endpoint_bucket(&request.endpoint);
                self.shared.ownership.handle_not_owner(bucket, reply.owner);
                GrantOutcome::NotOwner
            }
            wire::GrantAnswer::Closed | wire::GrantAnswer::Unspecified => GrantOutcome::Unavailable,
        }
    }

    /// Records granted slots. Their TTL counts from before the request was sent, so
    /// that they expire here no later than at the owner.
    fn record_grant(
        &self,
        request: &SlotRequest,
        grant_id: u64,
        slots: u32,
        warm: bool,
        requested_at: Now,
    ) {
        let endpoint = &request.endpoint;
        let expires_mono_ms = requested_at.mono_ms + self.shared.settings.grant_ttl_ms;
        let cold_notice =
            self.shared
                .notices
                .get(NoticeKind::Cold, endpoint.as_str(), requested_at);
        let mut held_slots = self.shared.held_slots();
        held_slots.add(endpoint, grant_id, slots, expires_mono_ms);
        held_slots.mark_warm(endpoint, warm, requested_at);
        if cold_notice.is_some() {
            held_slots.mark_cold(endpoint);
        }
    }

    /// Takes a slot from this node's fixed share, which needs no grant by the owner.
    fn take_share(
        &self,
        request: &SlotRequest,
        grant_id: u64,
        now: Now,
    ) -> Result<(), SlotRefusal> {
        let share = self.own_share(request);
        let mut held_slots = self.shared.held_slots();
        if !request.has_cold_start() {
            held_slots.mark_warm(&request.endpoint, true, now);
        }
        match held_slots.take_share(&request.endpoint, grant_id, share, now) {
            ShareAnswer::Taken => Ok(()),
            ShareAnswer::Full => Err(SlotRefusal::Full),
            ShareAnswer::Cold => Err(SlotRefusal::NoOwner),
        }
    }

    /// Returns how many of the shared slots rendezvous hashing assigns to this node.
    fn own_share(&self, request: &SlotRequest) -> u32 {
        let members = self.shared.members();
        let candidates: Vec<u64> = members
            .iter()
            .filter(|member| member.listed || member.is_live())
            .map(|member| Member::id(member).0)
            .collect();
        let endpoint = hash_text(request.endpoint.as_str());
        let own = (0..request.shared_slots()).filter(|slot| {
            let key = combine(endpoint, u64::from(*slot));
            rendezvous(key, candidates.iter().copied(), |id| id) == Some(self.shared.own_id.0)
        });
        u32::try_from(own.count()).unwrap_or_default()
    }

    fn new_slot(&self, request: SlotRequest, grant_id: u64, requested: bool) -> PeerSlot {
        PeerSlot {
            slots: self.clone(),
            grant_id,
            endpoint: request.endpoint,
            finished: None,
            requested,
        }
    }
}

impl Slots for PeerSlots {
    type Slot = PeerSlot;

    async fn acquire(&self, request: SlotRequest, now: Now) -> Result<PeerSlot, SlotRefusal> {
        let free = self.shared.held_slots().take_free(&request.endpoint, now);
        if let Some(grant_id) = free {
            return Ok(self.new_slot(request, grant_id, false));
        }
        let grant_id = fastrand::u64(1..);
        for _ in 0..MAX_OWNER_ATTEMPTS {
            match self.request_grant(&request, grant_id, now).await {
                GrantOutcome::Granted => return Ok(self.new_slot(request, grant_id, true)),
                GrantOutcome::Full => return Err(SlotRefusal::Full),
                GrantOutcome::Unavailable => break,
                GrantOutcome::NotOwner => {}
            }
        }
        self.take_share(&request, grant_id, now)?;
        Ok(self.new_slot(request, grant_id, true))
    }
}

impl PeerSlot {
    /// Returns whether the slot was newly requested, rather than a free slot that the
    /// node already held.
    #[must_use]
    pub fn was_requested(&self) -> bool {
        self.requested
    }
}

impl Slot for PeerSlot {
    fn finish(mut self, report: SlotReport, now: Now) {
        self.finished = Some((report, now));
        let mut held_slots = self.slots.shared.held_slots();
        match report {
            SlotReport::Served { .. } => {
                if held_slots.is_warm(&self.endpoint, now) {
                    held_slots.mark_warm(&self.endpoint, true, now);
                }
            }
            SlotReport::Refused | SlotReport::Failed => held_slots.mark_cold(&self.endpoint),
        }
    }
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        let report = self.finished.map(|(report, _)| report);
        let now = self.finished.map_or(ZERO_TIME, |(_, now)| now);
        let mut held_slots = self.slots.shared.held_slots();
        let outcome = held_slots.release(&self.endpoint, self.grant_id, report, now);
        drop(held_slots);
        if outcome.slots == 0 && outcome.report_queued {
            return;
        }
        let released = ReleasedSlot {
            grant_id: self.grant_id,
            endpoint: self.endpoint.clone(),
            slots: outcome.slots,
            report: report.filter(|_| !outcome.report_queued),
        };
        // The receiver is gone once the node has stopped; its grants then expire.
        let _ = self.slots.released.send(released);
    }
}
