//! The slots that this node holds as the user of endpoints.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};

use super::{Grant, SlotReport};
use crate::member::NodeId;

/// How long an endpoint counts as warm after it was last seen warm, in
/// milliseconds.
const WARM_TTL_MS: u64 = 600_000;

/// Maximum number of reports of served requests that are queued for an endpoint until
/// the next renewal.
const MAX_QUEUED_REPORTS: usize = 16;

/// The slots that one node holds, by endpoint.
#[derive(Debug, Default)]
pub struct HeldSlots {
    endpoints: HashMap<EndpointName, EndpointSlots>,
}

#[derive(Debug, Default)]
struct EndpointSlots {
    /// By grant id.
    grants: HashMap<u64, HeldGrant>,
    /// Until when the endpoint counts as warm, on the monotonic clock; zero if it
    /// was cold when last seen.
    warm_until_mono_ms: u64,
    /// Queued for the next renewal.
    reports: Vec<SlotReport>,
}

/// The slots of one grant. A slot whose request has ended may be reused until the
/// grant expires.
#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    /// Slots in use and free slots together.
    slots: u32,
    in_use: u32,
    /// Whether the slot was taken from the fixed share, without the owner.
    share: bool,
    /// After this time free slots must not be reused, on this node's monotonic
    /// clock.
    expires_mono_ms: u64,
    /// Whether a free slot was reused since the last renewal.
    reused: bool,
    /// Whether a slot whose request has ended may be reused.
    reusable: bool,
}

/// Result of releasing a slot whose request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseOutcome {
    /// Number of slots to return to the owner.
    pub slots: u32,
    /// Whether the report is queued for the next renewal.
    pub report_queued: bool,
}

/// Contents of the periodic renewal, for all owners.
#[derive(Debug, Default)]
pub struct Renewal {
    /// Grants to renew, with the slots that are kept.
    pub live: Vec<Grant>,
    /// Grants with the number of idle slots that are returned.
    pub idle: Vec<Grant>,
    /// Queued reports of finished requests.
    pub reports: Vec<(EndpointName, SlotReport)>,
}

/// Result of taking a slot from the fixed share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAnswer {
    /// A slot was taken.
    Taken,
    /// All slots of the node's share are in use.
    Full,
    /// The endpoint was cold when last seen.
    Cold,
}

impl HeldSlots {
    /// Records slots that the owner granted and marks one of them as in use.
    pub fn add(
        &mut self,
        endpoint: &EndpointName,
        grant_id: u64,
        slots: u32,
        expires_mono_ms: u64,
    ) {
        let held_grant = HeldGrant {
            slots,
            in_use: 1,
            share: false,
            expires_mono_ms,
            reused: false,
            reusable: slots > 1,
        };
        self.entry(endpoint).grants.insert(grant_id, held_grant);
    }

    /// Reuses a free slot that the node already holds; returns its grant id.
    pub fn take_free(&mut self, endpoint: &EndpointName, now: Now) -> Option<u64> {
        let entry = self.endpoints.get_mut(endpoint)?;
        let (grant_id, held_grant) = entry.grants.iter_mut().find(|(_, held_grant)| {
            held_grant.in_use < held_grant.slots && now.mono_ms < held_grant.expires_mono_ms
        })?;
        held_grant.in_use += 1;
        held_grant.reused = true;
        Some(*grant_id)
    }

    /// Takes one of the `share` slots of the fixed share if the endpoint was warm
    /// when last seen.
    pub fn take_share(
        &mut self,
        endpoint: &EndpointName,
        grant_id: u64,
        share: u32,
        now: Now,
    ) -> ShareAnswer {
        let entry = self.entry(endpoint);
        if entry.warm_until_mono_ms <= now.mono_ms {
            return ShareAnswer::Cold;
        }
        let in_use = entry
            .grants
            .values()
            .filter(|held_grant| held_grant.share)
            .count();
        if in_use >= share as usize {
            return ShareAnswer::Full;
        }
        let held_grant = HeldGrant {
            slots: 1,
            in_use: 1,
            share: true,
            expires_mono_ms: 0,
            reused: false,
            reusable: false,
        };
        entry.grants.insert(grant_id, held_grant);
        ShareAnswer::Taken
    }

    /// Ends the use of one slot. A reusable slot is kept for the next request if this
    /// one was served and the grant has not expired; otherwise all free slots of the
    /// grant are released.
    pub fn release(
        &mut self,
        endpoint: &EndpointName,
        grant_id: u64,
        report: Option<SlotReport>,
        now: Now,
    ) -> ReleaseOutcome {
        let untracked = ReleaseOutcome {
            slots: 1,
            report_queued: false,
        };
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return untracked;
        };
        let Some(held_grant) = entry.grants.get_mut(&grant_id) else {
            return untracked;
        };
        held_grant.in_use = held_grant.in_use.saturating_sub(1);
        let served = matches!(report, Some(SlotReport::Served { .. }));
        if served && held_grant.reusable && now.mono_ms < held_grant.expires_mono_ms {
            entry.queue_report(report);
            return ReleaseOutcome {
                slots: 0,
                report_queued: true,
            };
        }
        let slots = held_grant.slots - held_grant.in_use;
        held_grant.slots = held_grant.in_use;
        entry.grants.retain(|_, held_grant| held_grant.slots > 0);
        ReleaseOutcome {
            slots,
            report_queued: false,
        }
    }

    /// Records whether the endpoint was last seen warm.
    pub fn mark_warm(&mut self, endpoint: &EndpointName, warm: bool, now: Now) {
        let until_mono_ms = if warm { now.mono_ms + WARM_TTL_MS } else { 0 };
        self.entry(endpoint).warm_until_mono_ms = until_mono_ms;
    }

    /// Returns whether the endpoint was warm when last seen.
    #[must_use]
    pub fn is_warm(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|entry| entry.warm_until_mono_ms > now.mono_ms)
    }

    /// Records that the endpoint is cold and drops its free slots; slots in use are
    /// not reused afterwards.
    pub fn mark_cold(&mut self, endpoint: &EndpointName) {
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.warm_until_mono_ms = 0;
            entry.drop_free();
        }
    }

    /// Drops the free slots of the endpoints that `predicate` accepts and returns
    /// the slots in use, for a new owner.
    pub fn drop_free_and_list(
        &mut self,
        node: NodeId,
        expires_mono_ms: u64,
        predicate: impl Fn(&EndpointName) -> bool,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        for (endpoint, entry) in &mut self.endpoints {
            if predicate(endpoint) {
                entry.drop_free();
                grants.extend(entry.to_grants(node, endpoint, expires_mono_ms));
            }
        }
        grants
    }

    /// Returns what the owners are sent at every renewal interval. Free slots of
    /// grants that were not reused since the last renewal are released.
    pub fn prepare_renewal(&mut self, node: NodeId, expires_mono_ms: u64) -> Renewal {
        let mut renewal = Renewal::default();
        for (endpoint, entry) in &mut self.endpoints {
            let reports = entry.reports.drain(..);
            let reports = reports.map(|report| (endpoint.clone(), report));
            renewal.reports.extend(reports);
            renewal.idle.extend(entry.release_idle(node, endpoint));
            let live = entry.to_grants(node, endpoint, expires_mono_ms);
            renewal.live.extend(live);
        }
        renewal
    }

    /// Extends the expiry of a grant that its owner has renewed.
    pub fn extend(&mut self, grant: &Grant, expires_mono_ms: u64) {
        let entry = self.endpoints.get_mut(&grant.endpoint);
        if let Some(held_grant) = entry.and_then(|entry| entry.grants.get_mut(&grant.grant_id)) {
            held_grant.expires_mono_ms = held_grant.expires_mono_ms.max(expires_mono_ms);
        }
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut EndpointSlots {
        self.endpoints.entry(endpoint.clone()).or_default()
    }
}

impl EndpointSlots {
    /// Queues the report of a served request. Reports beyond the limit are dropped:
    /// a sample is enough for the owner.
    fn queue_report(&mut self, report: Option<SlotReport>) {
        if self.reports.len() < MAX_QUEUED_REPORTS {
            self.reports.extend(report);
        }
    }

    /// Drops the free slots of all grants and rules out their reuse.
    fn drop_free(&mut self) {
        for held_grant in self.grants.values_mut() {
            held_grant.slots = held_grant.in_use;
            held_grant.reusable = false;
        }
        self.grants.retain(|_, held_grant| held_grant.slots > 0);
    }

    /// Removes the free slots of grants that were not reused since the last renewal
    /// and returns them.
    fn release_idle(&mut self, node: NodeId, endpoint: &EndpointName) -> Vec<Grant> {
        let mut idle_grants = Vec::new();
        for (grant_id, held_grant) in &mut self.grants {
            let idle_slots = if held_grant.reused {
                0
            } else {
                held_grant.slots - held_grant.in_use
            };
            held_grant.reused = false;
            held_grant.slots -= idle_slots;
            if idle_slots > 0 {
                idle_grants.push(held_grant.to_grant(node, *grant_id, endpoint, idle_slots, 0));
            }
        }
        self.grants.retain(|_, held_grant| held_grant.slots > 0);
        idle_grants
    }

    fn to_grants(&self, node: NodeId, endpoint: &EndpointName, expires_mono_ms: u64) -> Vec<Grant> {
        self.grants
            .iter()
            .map(|(id, held_grant)| {
                held_grant.to_grant(node, *id, endpoint, held_grant.slots, expires_mono_ms)
            })
            .collect()
    }
}

impl HeldGrant {
    fn to_grant(
        self,
        node: NodeId,
        grant_id: u64,
        endpoint: &EndpointName,
        slots: u32,
        expires_mono_ms: u64,
    ) -> Grant {
        Grant {
            node,
            grant_id,
            endpoint: endpoint.clone(),
            slots,
            expires_mono_ms,
            share: self.share,
        }
    }
}
