//! Slots that are asked of the owners of endpoints.

use std::sync::Arc;

use hemlockhitch_model::{EndpointName, NodeName, Now};
use hemlockhitch_policy::bearing::SlotSign;
use tokio::sync::mpsc;

use super::cold::announce_cold;
use super::{GrantAnswer, ShareAnswer, Slot, SlotRefusal, SlotReport, SlotRequest, Slots};
use crate::hash::{combine, hash_text, rendezvous};
use crate::member::{Member, NodeId};
use crate::notice::NoticeKind;
use crate::ownership::Owner;
use crate::shared::Shared;
use crate::wire;

/// How many owners are asked for one slot before giving up.
const OWNER_TRIES: usize = 2;

/// The time of a slot that was dropped; it is not kept, so no time is needed.
const NO_TIME: Now = Now {
    mono_ms: 0,
    unix_ms: 0,
};

/// Hands out slots of every endpoint; clones share them.
#[derive(Clone, Debug)]
pub struct PeerSlots {
    shared: Arc<Shared>,
    ended: mpsc::UnboundedSender<EndedSlot>,
}

/// A slot that was given back.
#[derive(Debug)]
pub(crate) struct EndedSlot {
    pub(crate) grant_id: u64,
    pub(crate) endpoint: EndpointName,
    /// Slots to give back.
    pub(crate) slots: u32,
    pub(crate) report: Option<SlotReport>,
}

/// A slot of [`PeerSlots`].
#[derive(Debug)]
pub struct PeerSlot {
    slots: PeerSlots,
    grant_id: u64,
    endpoint: EndpointName,
    finished: Option<(SlotReport, Now)>,
    asked_for: bool,
}

/// What one owner said.
enum Asked {
    Granted,
    Full,
    /// The owner cannot say; the fixed share may be used.
    Unclear,
    /// Another node owns the endpoint.
    Elsewhere,
}

impl PeerSlots {
    pub(crate) fn new(shared: Arc<Shared>, ended: mpsc::UnboundedSender<EndedSlot>) -> Self {
        Self { shared, ended }
    }

    /// Takes in a sign of what an endpoint bears; only its owner heeds it.
    /// Returns whether this node is the owner.
    pub fn observe(&self, endpoint: &EndpointName, sign: SlotSign, now: Now) -> bool {
        let observed = self
            .shared
            .as_owner(endpoint, now, |book| book.observe(endpoint, sign, now));
        if observed == Some(true) {
            announce_cold(&self.shared, endpoint, now);
        }
        observed.is_some()
    }

    async fn ask(&self, request: &SlotRequest, grant_id: u64, now: Now) -> Asked {
        let bucket = self.shared.ownership.endpoint_bucket(&request.endpoint);
        match self.shared.ownership.owner(bucket, now) {
            Owner::Here { .. } => self.ask_own_book(request, grant_id, now),
            // A request does not wait for an owner that peers cannot reach.
            Owner::At { node, address } if self.is_alive(&node) => {
                self.ask_owner(&address, request, grant_id, now).await
            }
            Owner::At { .. } | Owner::Nobody => Asked::Unclear,
        }
    }

    fn is_alive(&self, node: &NodeName) -> bool {
        let members = self.shared.members();
        members.get(NodeId::of(node)).is_some_and(Member::is_alive)
    }

    fn ask_own_book(&self, request: &SlotRequest, grant_id: u64, now: Now) -> Asked {
        let own_id = self.shared.own_id;
        let answer = self.shared.as_owner(&request.endpoint, now, |book| {
            book.grant(own_id, grant_id, request, now)
        });
        match answer {
            Some(GrantAnswer::Granted { slots, warm }) => {
                self.accept(request, grant_id, slots, warm, now);
                Asked::Granted
            }
            Some(GrantAnswer::Full) => Asked::Full,
            Some(GrantAnswer::Closed) | None => Asked::Unclear,
        }
    }

    async fn ask_owner(
        &self,
        address: &str,
        request: &SlotRequest,
        grant_id: u64,
        now: Now,
    ) -> Asked {
        let message = wire::GrantRequest {
            node_id: self.shared.own_id.0,
            grant_id,
            endpoint: request.endpoint.to_string(),
            cold_limit: request.cold_limit,
            warm_limit: request.warm_limit,
        };
        let Ok(reply) = self.shared.clients.grant(address, message).await else {
            return Asked::Unclear;
        };
        match reply.answer() {
            wire::GrantAnswer::Granted => {
                self.accept(request, grant_id, reply.slots.max(1), reply.warm, now);
                Asked::Granted
            }
            wire::GrantAnswer::Full => Asked::Full,
            wire::GrantAnswer::NotOwner => {
                let bucket = self.shared.ownership.endpoint_bucket(&request.endpoint);
                self.shared.ownership.handle_not_owner(bucket, reply.owner);
                Asked::Elsewhere
            }
            wire::GrantAnswer::Closed | wire::GrantAnswer::Unspecified => Asked::Unclear,
        }
    }

    /// Keeps granted slots; they end as counted from before they were asked for.
    fn accept(&self, request: &SlotRequest, grant_id: u64, slots: u32, warm: bool, asked: Now) {
        let endpoint = &request.endpoint;
        let expires_ms = asked.mono_ms + self.shared.settings.grant_ttl_ms;
        let cold = self
            .shared
            .notices
            .get(NoticeKind::Cold, endpoint.as_str(), asked);
        let mut holder = self.shared.holder();
        holder.add(endpoint, grant_id, slots, expires_ms);
        holder.mark_warm(endpoint, warm, asked);
        if cold.is_some() {
            holder.turn_cold(endpoint);
        }
    }

    /// Takes a slot of the share that this node has without an owner's word.
    fn take_share(
        &self,
        request: &SlotRequest,
        grant_id: u64,
        now: Now,
    ) -> Result<(), SlotRefusal> {
        let share = self.share(request);
        let mut holder = self.shared.holder();
        if !request.has_cold_start() {
            holder.mark_warm(&request.endpoint, true, now);
        }
        match holder.take_share(&request.endpoint, grant_id, share, now) {
            ShareAnswer::Taken => Ok(()),
            ShareAnswer::Full => Err(SlotRefusal::Full),
            ShareAnswer::Cold => Err(SlotRefusal::NoOwner),
        }
    }

    /// Counts the shared slots that fall to this node.
    fn share(&self, request: &SlotRequest) -> u32 {
        let members = self.shared.members();
        let holders: Vec<u64> = members
            .iter()
            .filter(|member| member.listed || member.is_live())
            .map(|member| Member::id(member).0)
            .collect();
        let endpoint = hash_text(request.endpoint.as_str());
        let own = (0..request.shared_slots()).filter(|slot| {
            let key = combine(endpoint, u64::from(*slot));
            rendezvous(key, holders.iter().copied(), |id| id) == Some(self.shared.own_id.0)
        });
        u32::try_from(own.count()).unwrap_or_default()
    }

    fn slot(&self, request: SlotRequest, grant_id: u64, asked_for: bool) -> PeerSlot {
        PeerSlot {
            slots: self.clone(),
            grant_id,
            endpoint: request.endpoint,
            finished: None,
            asked_for,
        }
    }
}

impl Slots for PeerSlots {
    type Slot = PeerSlot;

    async fn acquire(&self, request: SlotRequest, now: Now) -> Result<PeerSlot, SlotRefusal> {
        let free = self.shared.holder().take_free(&request.endpoint, now);
        if let Some(grant_id) = free {
            return Ok(self.slot(request, grant_id, false));
        }
        let grant_id = fastrand::u64(1..);
        for _ in 0..OWNER_TRIES {
            match self.ask(&request, grant_id, now).await {
                Asked::Granted => return Ok(self.slot(request, grant_id, true)),
                Asked::Full => return Err(SlotRefusal::Full),
                Asked::Unclear => break,
                Asked::Elsewhere => {}
            }
        }
        self.take_share(&request, grant_id, now)?;
        Ok(self.slot(request, grant_id, true))
    }
}

impl PeerSlot {
    /// Returns whether the slot was asked for, rather than used again.
    #[must_use]
    pub fn was_asked_for(&self) -> bool {
        self.asked_for
    }
}

impl Slot for PeerSlot {
    fn finish(mut self, report: SlotReport, now: Now) {
        self.finished = Some((report, now));
        let mut holder = self.slots.shared.holder();
        match report {
            SlotReport::Served { .. } => {
                if holder.is_warm(&self.endpoint, now) {
                    holder.mark_warm(&self.endpoint, true, now);
                }
            }
            SlotReport::Refused | SlotReport::Failed => holder.turn_cold(&self.endpoint),
        }
    }
}

impl Drop for PeerSlot {
    fn drop(&mut self) {
        let report = self.finished.map(|(report, _)| report);
        let now = self.finished.map_or(NO_TIME, |(_, now)| now);
        let mut holder = self.slots.shared.holder();
        let ended = holder.end(&self.endpoint, self.grant_id, report, now);
        drop(holder);
        if ended.slots == 0 && ended.report_kept {
            return;
        }
        let ended = EndedSlot {
            grant_id: self.grant_id,
            endpoint: self.endpoint.clone(),
            slots: ended.slots,
            report: report.filter(|_| !ended.report_kept),
        };
        // A node that has stopped tells nobody; its grants end by themselves.
        let _ = self.slots.ended.send(ended);
    }
}
