//! The slots that a node holds.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};

use super::{Grant, SlotReport};
use crate::member::NodeId;

/// For how long an endpoint counts as warm after the last sign of it, in
/// milliseconds.
const WARM_MEMORY_MS: u64 = 600_000;

/// The most good reports of an endpoint that wait for the next renewal.
const MAX_REPORTS: usize = 16;

/// The slots of one node by endpoint.
#[derive(Debug, Default)]
pub struct Holder {
    endpoints: HashMap<EndpointName, Held>,
}

#[derive(Debug, Default)]
struct Held {
    lots: HashMap<u64, Lot>,
    warm_until_ms: u64,
    reports: Vec<SlotReport>,
}

/// Slots of one grant; a slot that ends may be used again until the grant ends.
#[derive(Clone, Copy, Debug)]
struct Lot {
    slots: u32,
    used: u32,
    share: bool,
    /// When unused slots are lost, on this node's monotonic clock.
    expires_ms: u64,
    /// Whether a slot was used again since the last renewal.
    reused: bool,
    /// Whether a slot that ends may be used again.
    reusable: bool,
}

/// What becomes of a slot whose request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Slots to give back to the owner.
    pub slots: u32,
    /// Whether the report waits for the next renewal.
    pub report_kept: bool,
}

/// What a renewal tells an owner.
#[derive(Debug, Default)]
pub struct Renewal {
    /// Grants that are still used.
    pub live: Vec<Grant>,
    /// Grants with the slots that are given back.
    pub unused: Vec<Grant>,
    /// What requests showed.
    pub reports: Vec<(EndpointName, SlotReport)>,
}

/// What became of a request for a slot of the fixed share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAnswer {
    /// The slot is taken.
    Taken,
    /// The node's share is used up.
    Full,
    /// The endpoint was cold when last seen.
    Cold,
}

impl Holder {
    /// Records slots that the owner granted, of which one is used at once.
    pub fn add(&mut self, endpoint: &EndpointName, grant_id: u64, slots: u32, expires_ms: u64) {
        let lot = Lot {
            slots,
            used: 1,
            share: false,
            expires_ms,
            reused: false,
            reusable: slots > 1,
        };
        self.entry(endpoint).lots.insert(grant_id, lot);
    }

    /// Uses a slot that the node holds already; returns its grant.
    pub fn take_free(&mut self, endpoint: &EndpointName, now: Now) -> Option<u64> {
        let held = self.endpoints.get_mut(endpoint)?;
        let (grant_id, lot) = held
            .lots
            .iter_mut()
            .find(|(_, lot)| lot.used < lot.slots && now.mono_ms < lot.expires_ms)?;
        lot.used += 1;
        lot.reused = true;
        Some(*grant_id)
    }

    /// Takes a slot of the fixed share if the endpoint was warm when last seen.
    pub fn take_share(
        &mut self,
        endpoint: &EndpointName,
        grant_id: u64,
        share: u32,
        now: Now,
    ) -> ShareAnswer {
        let held = self.entry(endpoint);
        if held.warm_until_ms <= now.mono_ms {
            return ShareAnswer::Cold;
        }
        let used = held.lots.values().filter(|lot| lot.share).count();
        if used >= share as usize {
            return ShareAnswer::Full;
        }
        let lot = Lot {
            slots: 1,
            used: 1,
            share: true,
            expires_ms: 0,
            reused: false,
            reusable: false,
        };
        held.lots.insert(grant_id, lot);
        ShareAnswer::Taken
    }

    /// Ends the use of one slot. A slot of a lot is kept for the next request
    /// unless the report is bad.
    pub fn end(
        &mut self,
        endpoint: &EndpointName,
        grant_id: u64,
        report: Option<SlotReport>,
        now: Now,
    ) -> Ended {
        let given_back = Ended {
            slots: 1,
            report_kept: false,
        };
        let Some(held) = self.endpoints.get_mut(endpoint) else {
            return given_back;
        };
        let Some(lot) = held.lots.get_mut(&grant_id) else {
            return given_back;
        };
        lot.used = lot.used.saturating_sub(1);
        let good = matches!(report, Some(SlotReport::Served { .. }));
        if good && lot.reusable && now.mono_ms < lot.expires_ms {
            held.keep_report(report);
            return Ended {
                slots: 0,
                report_kept: true,
            };
        }
        let slots = lot.slots - lot.used;
        lot.slots = lot.used;
        held.lots.retain(|_, lot| lot.slots > 0);
        Ended {
            slots,
            report_kept: false,
        }
    }

    /// Records whether the endpoint is warm, as far as the last sign goes.
    pub fn mark_warm(&mut self, endpoint: &EndpointName, warm: bool, now: Now) {
        let until_ms = if warm {
            now.mono_ms + WARM_MEMORY_MS
        } else {
            0
        };
        self.entry(endpoint).warm_until_ms = until_ms;
    }

    /// Returns whether the endpoint was warm when last seen.
    #[must_use]
    pub fn is_warm(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|held| held.warm_until_ms > now.mono_ms)
    }

    /// Takes the endpoint for cold and uses no slot of a lot again.
    pub fn turn_cold(&mut self, endpoint: &EndpointName) {
        if let Some(held) = self.endpoints.get_mut(endpoint) {
            held.warm_until_ms = 0;
            held.drop_unused();
        }
    }

    /// Lists the slots in use at the endpoints that `chosen` accepts, for a new
    /// owner; unused ones are lost.
    pub fn surrender(
        &mut self,
        node: NodeId,
        expires_mono_ms: u64,
        chosen: impl Fn(&EndpointName) -> bool,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        for (endpoint, held) in &mut self.endpoints {
            if chosen(endpoint) {
                held.drop_unused();
                grants.extend(held.grants(node, endpoint, expires_mono_ms));
            }
        }
        grants
    }

    /// Lists what the owners are told at intervals. Lots that were not used
    /// again since the last renewal are given back.
    pub fn renewal(&mut self, node: NodeId, expires_mono_ms: u64) -> Renewal {
        let mut renewal = Renewal::default();
        for (endpoint, held) in &mut self.endpoints {
            let reports = held.reports.drain(..);
            let reports = reports.map(|report| (endpoint.clone(), report));
            renewal.reports.extend(reports);
            renewal.unused.extend(held.give_back_idle(node, endpoint));
            let live = held.grants(node, endpoint, expires_mono_ms);
            renewal.live.extend(live);
        }
        renewal
    }

    /// Prolongs the use of lots that an owner has renewed.
    pub fn renewed(&mut self, grant: &Grant, expires_ms: u64) {
        let held = self.endpoints.get_mut(&grant.endpoint);
        if let Some(lot) = held.and_then(|held| held.lots.get_mut(&grant.grant_id)) {
            lot.expires_ms = lot.expires_ms.max(expires_ms);
        }
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut Held {
        self.endpoints.entry(endpoint.clone()).or_default()
    }
}

impl Held {
    /// Keeps a good report; the owner needs no more than a sample of them.
    fn keep_report(&mut self, report: Option<SlotReport>) {
        if self.reports.len() < MAX_REPORTS {
            self.reports.extend(report);
        }
    }

    fn drop_unused(&mut self) {
        for lot in self.lots.values_mut() {
            lot.slots = lot.used;
            lot.reusable = false;
        }
        self.lots.retain(|_, lot| lot.slots > 0);
    }

    fn give_back_idle(&mut self, node: NodeId, endpoint: &EndpointName) -> Vec<Grant> {
        let mut unused = Vec::new();
        for (grant_id, lot) in &mut self.lots {
            let idle = if lot.reused { 0 } else { lot.slots - lot.used };
            lot.reused = false;
            lot.slots -= idle;
            if idle > 0 {
                unused.push(lot.grant(node, *grant_id, endpoint, idle, 0));
            }
        }
        self.lots.retain(|_, lot| lot.slots > 0);
        unused
    }

    fn grants(&self, node: NodeId, endpoint: &EndpointName, expires_mono_ms: u64) -> Vec<Grant> {
        self.lots
            .iter()
            .map(|(id, lot)| lot.grant(node, *id, endpoint, lot.slots, expires_mono_ms))
            .collect()
    }
}

impl Lot {
    fn grant(
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
