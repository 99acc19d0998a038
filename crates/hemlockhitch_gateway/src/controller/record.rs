//! Records that nodes share through the store.

use hemlockhitch_model::{Now, ServiceName};
use hemlockhitch_ports::key_value::Entry;
use hemlockhitch_routing::roll_out::{Order, Stage};
use serde::{Deserialize, Serialize};

use crate::state::State;

/// Key prefix of roll-out stages; the service follows.
pub(crate) const STAGE_PREFIX: &str = "hemlockhitch/stage/";

/// Key prefix of the crash counts of requests; the fingerprint follows.
pub(crate) const CRASH_COUNT_PREFIX: &str = "hemlockhitch/suspect/";

/// The stage of a roll-out, with its target version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StageRecord {
    target: String,
    stage: Stage,
}

impl StageRecord {
    pub(super) fn new(order: &Order, stage: Stage) -> Self {
        Self {
            target: order.target.as_str().to_owned(),
            stage,
        }
    }

    pub(super) fn to_value(&self) -> String {
        // Serialising a string and a unit variant cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl State {
    /// Applies the stage of a roll-out that the store holds, unless a newer one is
    /// known.
    pub(crate) fn set_stage(&mut self, service: &ServiceName, record: StageRecord, version: u64) {
        if let Some((_, known_version)) = self.stages.get(service)
            && *known_version >= version
        {
            return;
        }
        self.stages.insert(service.clone(), (record, version));
        self.apply_stored_stage(service);
    }

    /// Moves a roll-out to the stage that the store holds for its order.
    pub(crate) fn apply_stored_stage(&mut self, service: &ServiceName) {
        let Some(roll_out) = self.roll_outs.get_mut(service) else {
            return;
        };
        if let Some((record, _)) = self.stages.get(service)
            && record.target == roll_out.order().target.as_str()
        {
            roll_out.advance(record.stage);
        }
    }
}

pub(crate) fn apply_stage(state: &mut State, service: &ServiceName, entry: &Entry) {
    match serde_json::from_str(&entry.value) {
        Ok(record) => state.set_stage(service, record, entry.version),
        Err(error) => {
            tracing::warn!(event = "HH1255", key = entry.key, %error, "invalid roll-out stage in the store");
        }
    }
}

pub(crate) fn apply_crash_count(state: &mut State, fingerprint: &str, entry: &Entry, now: Now) {
    let fingerprint = u64::from_str_radix(fingerprint, 16);
    match (fingerprint, entry.value.parse()) {
        (Ok(fingerprint), Ok(crashes)) => state.crash_tracker.merge_peer(fingerprint, crashes, now),
        _ => {
            tracing::warn!(
                event = "HH1256",
                key = entry.key,
                "invalid crash count in the store"
            );
        }
    }
}
