//! The slots that this node holds.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};

use super::Grant;
use crate::member::NodeId;

/// For how long an endpoint counts as warm after the last sign of it, in
/// milliseconds.
const WARM_MEMORY_MS: u64 = 600_000;

/// The slots of this node by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Holder {
    endpoints: HashMap<EndpointName, Held>,
}

#[derive(Debug, Default)]
struct Held {
    live: HashMap<u64, Live>,
    warm_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Live {
    slots: u32,
    share: bool,
}

impl Holder {
    /// Records a slot that the owner granted.
    pub(crate) fn add(&mut self, endpoint: &EndpointName, grant_id: u64) {
        let live = Live {
            slots: 1,
            share: false,
        };
        self.entry(endpoint).live.insert(grant_id, live);
    }

    /// Takes a slot of the fixed share if the endpoint was warm when last seen.
    pub(crate) fn take_share(
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
        let used: u32 = held
            .live
            .values()
            .filter(|live| live.share)
            .map(|live| live.slots)
            .sum();
        if used >= share {
            return ShareAnswer::Full;
        }
        let live = Live {
            slots: 1,
            share: true,
        };
        held.live.insert(grant_id, live);
        ShareAnswer::Taken
    }

    pub(crate) fn remove(&mut self, endpoint: &EndpointName, grant_id: u64) {
        if let Some(held) = self.endpoints.get_mut(endpoint) {
            held.live.remove(&grant_id);
        }
    }

    /// Records whether the endpoint is warm, as far as the last sign goes.
    pub(crate) fn mark_warm(&mut self, endpoint: &EndpointName, warm: bool, now: Now) {
        let until_ms = if warm {
            now.mono_ms + WARM_MEMORY_MS
        } else {
            0
        };
        self.entry(endpoint).warm_until_ms = until_ms;
    }

    pub(crate) fn is_warm(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|held| held.warm_until_ms > now.mono_ms)
    }

    /// Lists the slots in use at the endpoints that `chosen` accepts.
    pub(crate) fn live(
        &self,
        node: NodeId,
        expires_mono_ms: u64,
        chosen: impl Fn(&EndpointName) -> bool,
    ) -> Vec<Grant> {
        self.endpoints
            .iter()
            .filter(|(endpoint, _)| chosen(endpoint))
            .flat_map(|(endpoint, held)| held.live.iter().map(move |live| (endpoint, live)))
            .map(|(endpoint, (grant_id, live))| Grant {
                node,
                grant_id: *grant_id,
                endpoint: endpoint.clone(),
                slots: live.slots,
                expires_mono_ms,
                share: live.share,
            })
            .collect()
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut Held {
        self.endpoints.entry(endpoint.clone()).or_default()
    }
}

/// What became of a request for a slot of the fixed share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShareAnswer {
    Taken,
    Full,
    Cold,
}
