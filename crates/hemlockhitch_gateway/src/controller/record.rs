//! Records that nodes share through the store.

use hemlockhitch_model::{ServiceName, StorePosition};
use hemlockhitch_ports::key_value::Entry;
use hemlockhitch_routing::roll_out::{Order, Stage};
use serde::{Deserialize, Serialize};

use crate::state::State;

/// Key prefix of roll-out stages; the service follows.
pub(crate) const STAGE_PREFIX: &str = "hemlockhitch/stage/";

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
    pub(crate) fn set_stage(
        &mut self,
        service: &ServiceName,
        record: StageRecord,
        position: StorePosition,
    ) {
        if let Some((_, known)) = self.stages.get(service)
            && *known >= position
        {
            return;
        }
        self.replace_stage(service, record, position);
    }

    /// Applies the stage of a roll-out that the store has returned to a write.
    pub(crate) fn replace_stage(
        &mut self,
        service: &ServiceName,
        record: StageRecord,
        position: StorePosition,
    ) {
        self.stages.insert(service.clone(), (record, position));
        self.apply_stored_stage(service);
    }

    /// Returns the stage of a roll-out that the store holds for its order in an epoch.
    pub(crate) fn stored_stage(&self, service: &ServiceName, epoch: u64) -> Option<Stage> {
        let roll_out = self.roll_outs.get(service)?;
        let (record, position) = self.stages.get(service)?;
        let is_current =
            position.epoch == epoch && record.target == roll_out.order().target.as_str();
        is_current.then_some(record.stage)
    }

    /// Prepares the state for an epoch of the store whose content lacks the latest
    /// writes: this node's lease is void, and what it had shared is shared again.
    pub(crate) fn begin_epoch(&mut self) {
        self.lease = None;
        self.lease_is_void = true;
        self.published_status.clear();
        for (service, roll_out) in &mut self.roll_outs {
            roll_out.evidence().mark_shared(0.0);
            if self.own_pins.contains_key(service) && !roll_out.stage().is_final() {
                self.unpublished_pins.push(service.clone());
            }
        }
    }

    /// Moves a roll-out to the stage that the store holds for its order.
    pub(crate) fn apply_stored_stage(&mut self, service: &ServiceName) {
        let Some(roll_out) = self.roll_outs.get_mut(service) else {
            return;
        };
        if let Some((record, _)) = self.stages.get(service)
            && record.target == roll_out.order().target.as_str()
        {
            let before = roll_out.stage();
            roll_out.advance(record.stage);
            let stage = roll_out.stage();
            if stage != before {
                let evidence = roll_out.evidence().summary();
                tracing::info!(event = "HH1265", %service, ?stage, ?evidence, "roll-out stage applied");
            }
        }
    }
}

/// Applies a stage that the store holds in an epoch.
pub(crate) fn apply_stage(state: &mut State, service: &ServiceName, entry: &Entry, epoch: u64) {
    if let Some((record, position)) = parse_stage(entry, epoch) {
        state.set_stage(service, record, position);
    }
}

/// Applies a stage that the store returned to a write whose condition did not hold.
pub(super) fn adopt_stage(state: &mut State, service: &ServiceName, entry: &Entry, epoch: u64) {
    if let Some((record, position)) = parse_stage(entry, epoch) {
        state.replace_stage(service, record, position);
    }
}

fn parse_stage(entry: &Entry, epoch: u64) -> Option<(StageRecord, StorePosition)> {
    let position = StorePosition {
        epoch,
        revision: entry.version,
    };
    match serde_json::from_str(&entry.value) {
        Ok(record) => Some((record, position)),
        Err(error) => {
            tracing::warn!(event = "HH1255", key = entry.key, %error, "invalid roll-out stage in the store");
            None
        }
    }
}
