//! Roll-out controller: moves roll-outs from stage to stage and keeps in the store what
//! crashes endpoints.
//!
//! Any node may take the next step; a compare-and-swap lets only one of them do it.
//! Every node applies what the store holds, so that a step survives the node that took
//! it.

mod crash_records;
mod evidence;
mod fence;
mod pins;
mod record;
mod reports;

pub(crate) use crash_records::{CRASHES_PREFIX, apply_crashes, remove_crashes};
pub(crate) use evidence::{EVIDENCE_PREFIX, apply_evidence};
pub(crate) use pins::{OwnPins, PINS_PREFIX, apply_pins};
pub(crate) use record::{STAGE_PREFIX, StageRecord, apply_stage};

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_model::{Clock, ServiceName, StorePosition};
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, Swap, SwapOutcome};
use hemlockhitch_routing::roll_out::{Order, Stage, StepConditions};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::feed::store_backoff;
use crate::state::NodeContext;

/// Polling interval of the controller: a fraction of the time in which a bad version
/// must be rolled back.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often one node asks the endpoints of replaced versions whether they are idle, in
/// milliseconds: each query has a cost.
const IDLE_QUERY_INTERVAL_MS: u64 = 1_000;

/// Number of delay steps over which nodes are staggered, so that one of them takes a
/// step alone.
const STAGGER_STEPS: u64 = 16;

/// Maximum length of a delay step, in milliseconds: the time until the store has
/// responded and a watch has reported the write.
const MAX_STAGGER_MS: u64 = 120;

/// Divisor of an order's duration, which bounds a delay step: all steps together leave
/// enough time for the roll-out.
const STAGGER_DIVISOR: u64 = 400;

/// Runs the roll-out controller until the task is cancelled.
pub async fn run_roll_out_controller<D: Dialect, C: Clock>(
    node_context: NodeContext<D, C>,
    store: impl KeyValue,
) {
    let mut controller = RollOutController {
        node_context,
        store,
        due_mono_ms: HashMap::new(),
        queried_mono_ms: HashMap::new(),
        epoch: 0,
        restores_stages: false,
    };
    let mut backoff = store_backoff();
    loop {
        sleep(POLL_INTERVAL).await;
        if controller.run_once().await {
            backoff.reset();
        } else {
            sleep(backoff.next_pause()).await;
        }
    }
}

struct RollOutController<D, C, S> {
    node_context: NodeContext<D, C>,
    store: S,
    /// Time from which this node may write a stage or status that no other node has
    /// written.
    due_mono_ms: HashMap<(ServiceName, Stage), u64>,
    /// When endpoints were last asked whether they are idle.
    queried_mono_ms: HashMap<ServiceName, u64>,
    /// Epoch of the store to which `due_mono_ms` refers.
    epoch: u64,
    /// Whether the store has returned from a copy since this node started, so that it
    /// may lack stages that roll-outs have reached.
    restores_stages: bool,
}

impl<D: Dialect, C: Clock, S: KeyValue> RollOutController<D, C, S> {
    /// Runs one cycle; returns whether the store accepted every write. While the store
    /// is in a later epoch than this node knows, nothing is written.
    async fn run_once(&mut self) -> bool {
        let epoch = self.node_context.mirror().position().epoch;
        if self.store.epoch() > epoch {
            return true;
        }
        if self.epoch != epoch {
            self.restores_stages |= self.epoch != 0;
            self.epoch = epoch;
            self.due_mono_ms.clear();
        }
        if let Err(error) = pins::publish(&self.node_context, &self.store).await {
            tracing::warn!(event = "HH1258", %error, "failed to publish pinned sessions");
            return false;
        }
        if let Err(error) = crash_records::publish(&self.node_context, &self.store).await {
            tracing::warn!(event = "HH1253", %error, "failed to write crashes of endpoints to the store");
            return false;
        }
        for service in self.services() {
            if let Err(error) = self.advance(&service).await {
                tracing::warn!(event = "HH1250", %service, %error, "failed to store a roll-out step");
                return false;
            }
        }
        true
    }

    fn services(&self) -> Vec<ServiceName> {
        self.node_context
            .state()
            .roll_outs
            .keys()
            .cloned()
            .collect()
    }

    async fn advance(&mut self, service: &ServiceName) -> Result<(), KeyValueError> {
        evidence::publish(&self.node_context, &self.store, service).await?;
        if let Some(stage) = self.lost_stage(service)
            && self.is_due(service, stage)
        {
            self.write_stage(service, stage).await?;
        }
        if let Some(stage) = self.next_stage(service, true)
            && (stage == Stage::RolledBack || self.is_due(service, stage))
            && (self.next_stage(service, false).is_some()
                || self.query_old_endpoints_idle(service).await)
        {
            self.write_stage(service, stage).await?;
        }
        self.publish_status_if_due(service).await
    }

    /// Returns the stage that a roll-out has reached if the store lost it with an earlier
    /// epoch.
    fn lost_stage(&self, service: &ServiceName) -> Option<Stage> {
        if !self.restores_stages {
            return None;
        }
        let state = self.node_context.state();
        let stage = state.roll_outs.get(service)?.stage();
        let stored = state.stored_stage(service, self.epoch);
        (stage > Stage::Trial && stored < Some(stage)).then_some(stage)
    }

    fn next_stage(&self, service: &ServiceName, old_endpoints_idle: bool) -> Option<Stage> {
        let state = self.node_context.state();
        let roll_out = state.roll_outs.get(service)?;
        let conditions = StepConditions {
            others_idle: old_endpoints_idle,
            node_count: state.node_count(),
            store_call_ms: state.store_call_ms,
        };
        roll_out.next_stage(conditions, self.node_context.now())
    }

    /// Asks the endpoints of replaced versions whether they are idle, at a limited
    /// rate.
    async fn query_old_endpoints_idle(&mut self, service: &ServiceName) -> bool {
        let now_mono_ms = self.node_context.now().mono_ms;
        let queried_mono_ms = self.queried_mono_ms.get(service);
        if queried_mono_ms.is_some_and(|queried| now_mono_ms < queried + IDLE_QUERY_INTERVAL_MS) {
            return false;
        }
        self.queried_mono_ms.insert(service.clone(), now_mono_ms);
        reports::are_old_endpoints_idle(&self.node_context, service).await
    }

    /// Returns whether this node's delay is over. By then the nodes with shorter delays
    /// have written, or are not running.
    fn is_due(&mut self, service: &ServiceName, stage: Stage) -> bool {
        let now_mono_ms = self.node_context.now().mono_ms;
        let node_index = self
            .node_context
            .state()
            .node_index(self.node_context.settings().node.as_str());
        let delay_ms = node_index.min(STAGGER_STEPS - 1) * self.stagger_ms(service);
        let due_mono_ms = self
            .due_mono_ms
            .entry((service.clone(), stage))
            .or_insert(now_mono_ms + delay_ms);
        now_mono_ms >= *due_mono_ms
    }

    fn stagger_ms(&self, service: &ServiceName) -> u64 {
        let state = self.node_context.state();
        let roll_out = state.roll_outs.get(service);
        roll_out.map_or(MAX_STAGGER_MS, |roll_out| {
            (roll_out.order().duration_ms / STAGGER_DIVISOR).min(MAX_STAGGER_MS)
        })
    }

    async fn write_stage(&self, service: &ServiceName, stage: Stage) -> Result<(), KeyValueError> {
        let Some((order, known_version)) = self.order_and_version(service) else {
            return Ok(());
        };
        let record = StageRecord::new(&order, stage);
        let epoch = self.epoch;
        let fence = fence::current(&self.node_context.mirror());
        let at = |revision| StorePosition { epoch, revision };
        let swap = Swap {
            key: format!("{STAGE_PREFIX}{service}"),
            expected: known_version.map_or(Expected::Absent, Expected::Version),
            value: Some(record.to_value()),
            lease: None,
        };
        match self.store.swap_fenced(swap, fence).await? {
            SwapOutcome::Written(version) => {
                tracing::info!(event = "HH1251", %service, target = %order.target, ?stage, "roll-out stage changed");
                self.node_context
                    .state()
                    .set_stage(service, record, at(version));
                if stage.is_final() {
                    self.publish_status(service, &order, stage).await?;
                }
            }
            SwapOutcome::Conflict(Some(entry)) => {
                record::adopt_stage(&mut self.node_context.state(), service, &entry, epoch);
            }
            SwapOutcome::Conflict(None) => {
                self.node_context.state().stages.remove(service);
            }
        }
        Ok(())
    }

    fn order_and_version(&self, service: &ServiceName) -> Option<(Order, Option<u64>)> {
        let state = self.node_context.state();
        let order = state.roll_outs.get(service)?.order().clone();
        let stored = state.stages.get(service);
        let stored = stored.filter(|(_, position)| position.epoch == self.epoch);
        Some((order, stored.map(|(_, position)| position.revision)))
    }

    /// Publishes the status of a roll-out to the operator, unless a node has published
    /// it.
    async fn publish_status_if_due(&mut self, service: &ServiceName) -> Result<(), KeyValueError> {
        let (order, stage) = {
            let state = self.node_context.state();
            let Some(roll_out) = state.roll_outs.get(service) else {
                return Ok(());
            };
            let published_status = state.published_status.get(service);
            let stage = roll_out.stage();
            let target = roll_out.order().target.as_str();
            let is_published =
                published_status.is_some_and(|(published_target, published_stage)| {
                    let same = *published_stage == stage
                        || !(stage.is_final() || published_stage.is_final());
                    published_target == target && same
                });
            if is_published {
                return Ok(());
            }
            (roll_out.order().clone(), stage)
        };
        if !self.is_due(service, status_stage(stage)) {
            return Ok(());
        }
        self.publish_status(service, &order, stage).await
    }

    async fn publish_status(
        &self,
        service: &ServiceName,
        order: &Order,
        stage: Stage,
    ) -> Result<(), KeyValueError> {
        let (key, value) = self
            .node_context
            .dialect()
            .roll_out_status(service, order, stage);
        let swap = Swap {
            key,
            expected: Expected::Any,
            value: Some(value),
            lease: None,
        };
        self.store.swap(swap).await?;
        tracing::info!(event = "HH1252", %service, target = %order.target, ?stage, "roll-out status published");
        let published_status = (order.target.as_str().to_owned(), stage);
        self.node_context
            .state()
            .published_status
            .insert(service.clone(), published_status);
        Ok(())
    }
}

/// Returns one stage for all stages that the operator sees as the same status.
fn status_stage(stage: Stage) -> Stage {
    if stage.is_final() {
        stage
    } else {
        Stage::Trial
    }
}
