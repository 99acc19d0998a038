//! Moves roll-outs from stage to stage, and shares suspicions, through the store.
//!
//! Any node may make the next step; a compare-and-swap lets one of them do it. Every
//! node holds what the store says, so that a step survives the node that made it.

mod evidence;
mod pins;
mod record;
mod reports;

pub(crate) use evidence::{EVIDENCE_PREFIX, learn_evidence};
pub(crate) use pins::{PINS_PREFIX, learn_pins};
pub(crate) use record::{STAGE_PREFIX, SUSPECT_PREFIX, StageRecord, learn_stage, learn_suspect};

use std::collections::HashMap;
use std::time::Duration;

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, Swap, SwapOutcome};
use hemlockhitch_routing::roll_out::{Order, Stage};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::feed::store_backoff;
use crate::state::Shared;

/// How often the steward looks for something to do: a fraction of the time in which
/// a bad version must be taken back.
const INTERVAL: Duration = Duration::from_millis(100);

/// How often one node asks the endpoints that a roll-out leaves whether they are
/// idle, in milliseconds: each question has a price.
const ASK_INTERVAL_MS: u64 = 1_000;

/// Turns among which nodes are spread, so that one of them makes a step alone.
const TURNS: u64 = 16;

/// Longest turn, in milliseconds: the store's answer and the watch of it.
const TURN_MOST_MS: u64 = 120;

/// The part of an order's time that a turn takes at most, as a divisor: all turns
/// together leave the order in time.
const TURN_OF_ORDER: u64 = 400;

/// Acts on roll-outs and suspicions until the task is ended.
pub async fn steer<D: Dialect, C: Clock>(shared: Shared<D, C>, store: impl KeyValue) {
    let mut steward = Steward {
        shared,
        store,
        due_mono_ms: HashMap::new(),
        asked_mono_ms: HashMap::new(),
    };
    let mut backoff = store_backoff();
    loop {
        sleep(INTERVAL).await;
        if steward.act().await {
            backoff.reset();
        } else {
            sleep(backoff.next_pause()).await;
        }
    }
}

struct Steward<D, C, S> {
    shared: Shared<D, C>,
    store: S,
    /// From when this node may write a state that nobody has written yet.
    due_mono_ms: HashMap<(ServiceName, Stage), u64>,
    /// When endpoints were last asked whether they are idle.
    asked_mono_ms: HashMap<ServiceName, u64>,
}

impl<D: Dialect, C: Clock, S: KeyValue> Steward<D, C, S> {
    /// Does what is to be done; returns whether the store took it.
    async fn act(&mut self) -> bool {
        if let Err(error) = pins::share(&self.shared, &self.store).await {
            tracing::warn!(event = "HH1258", %error, "sessions under way not shared");
            return false;
        }
        if let Err(error) = self.share_suspicions().await {
            tracing::warn!(event = "HH1253", %error, "suspicion of a request not shared");
            return false;
        }
        for service in self.services() {
            if let Err(error) = self.step(&service).await {
                tracing::warn!(event = "HH1250", %service, %error, "step of a roll-out not stored");
                return false;
            }
        }
        true
    }

    fn services(&self) -> Vec<ServiceName> {
        self.shared.state().roll_outs.keys().cloned().collect()
    }

    async fn step(&mut self, service: &ServiceName) -> Result<(), KeyValueError> {
        evidence::share(&self.shared, &self.store, service).await?;
        if let Some(stage) = self.next_stage(service, true)
            && (stage == Stage::RolledBack || self.is_due(service, stage))
            && (self.next_stage(service, false).is_some() || self.others_idle(service).await)
        {
            self.write_stage(service, stage).await?;
        }
        self.write_status(service).await
    }

    fn next_stage(&self, service: &ServiceName, others_idle: bool) -> Option<Stage> {
        let state = self.shared.state();
        let roll_out = state.roll_outs.get(service)?;
        roll_out.next_stage(others_idle, self.shared.now())
    }

    /// Asks the endpoints that a roll-out leaves, now and then.
    async fn others_idle(&mut self, service: &ServiceName) -> bool {
        let now_mono_ms = self.shared.now().mono_ms;
        let asked_mono_ms = self.asked_mono_ms.get(service);
        if asked_mono_ms.is_some_and(|asked| now_mono_ms < asked + ASK_INTERVAL_MS) {
            return false;
        }
        self.asked_mono_ms.insert(service.clone(), now_mono_ms);
        reports::others_idle(&self.shared, service).await
    }

    /// Returns whether this node's turn to write has come; nodes with earlier turns
    /// have then written, or are not there.
    fn is_due(&mut self, service: &ServiceName, stage: Stage) -> bool {
        let now_mono_ms = self.shared.now().mono_ms;
        let turn = self
            .shared
            .state()
            .place_among_nodes(self.shared.settings().node.as_str());
        let turn_ms = turn.min(TURNS - 1) * self.turn_length_ms(service);
        let due_mono_ms = self
            .due_mono_ms
            .entry((service.clone(), stage))
            .or_insert(now_mono_ms + turn_ms);
        now_mono_ms >= *due_mono_ms
    }

    fn turn_length_ms(&self, service: &ServiceName) -> u64 {
        let state = self.shared.state();
        let roll_out = state.roll_outs.get(service);
        roll_out.map_or(TURN_MOST_MS, |roll_out| {
            (roll_out.order().finish_ms / TURN_OF_ORDER).min(TURN_MOST_MS)
        })
    }

    async fn write_stage(&self, service: &ServiceName, stage: Stage) -> Result<(), KeyValueError> {
        let Some((order, known)) = self.order_and_record(service) else {
            return Ok(());
        };
        let record = StageRecord::new(&order, stage);
        let swap = Swap {
            key: format!("{STAGE_PREFIX}{service}"),
            expected: known.map_or(Expected::Absent, Expected::Version),
            value: Some(record.to_value()),
            lease: None,
        };
        match self.store.swap(swap).await? {
            SwapOutcome::Written(version) => {
                tracing::info!(event = "HH1251", %service, target = %order.target, ?stage, "roll-out stage");
                self.shared.state().put_stage(service, record, version);
                if stage.is_final() {
                    self.tell(service, &order, stage).await?;
                }
            }
            SwapOutcome::Conflict(Some(entry)) => {
                learn_stage(&mut self.shared.state(), service, &entry);
            }
            SwapOutcome::Conflict(None) => {
                self.shared.state().stages.remove(service);
            }
        }
        Ok(())
    }

    fn order_and_record(&self, service: &ServiceName) -> Option<(Order, Option<u64>)> {
        let state = self.shared.state();
        let order = state.roll_outs.get(service)?.order().clone();
        let known = state.stages.get(service).map(|(_, version)| *version);
        Some((order, known))
    }

    /// Tells the operator the state of a roll-out, unless a node has done so.
    async fn write_status(&mut self, service: &ServiceName) -> Result<(), KeyValueError> {
        let (order, stage) = {
            let state = self.shared.state();
            let Some(roll_out) = state.roll_outs.get(service) else {
                return Ok(());
            };
            let told = state.told.get(service);
            let stage = roll_out.stage();
            let target = roll_out.order().target.as_str();
            let is_told = told.is_some_and(|(told_target, told_stage)| {
                let same = *told_stage == stage || !(stage.is_final() || told_stage.is_final());
                told_target == target && same
            });
            if is_told {
                return Ok(());
            }
            (roll_out.order().clone(), stage)
        };
        if !self.is_due(service, told_as(stage)) {
            return Ok(());
        }
        self.tell(service, &order, stage).await
    }

    async fn tell(
        &self,
        service: &ServiceName,
        order: &Order,
        stage: Stage,
    ) -> Result<(), KeyValueError> {
        let (key, value) = self.shared.dialect().roll_out_status(service, order, stage);
        let swap = Swap {
            key,
            expected: Expected::Any,
            value: Some(value),
            lease: None,
        };
        self.store.swap(swap).await?;
        tracing::info!(event = "HH1252", %service, target = %order.target, ?stage, "operator told of a roll-out");
        let told = (order.target.as_str().to_owned(), stage);
        self.shared.state().told.insert(service.clone(), told);
        Ok(())
    }

    async fn share_suspicions(&self) -> Result<(), KeyValueError> {
        let news = std::mem::take(&mut self.shared.state().suspect_news);
        for (fingerprint, crashes) in news {
            self.share_suspicion(fingerprint, crashes).await?;
        }
        Ok(())
    }

    async fn share_suspicion(&self, fingerprint: u64, crashes: u32) -> Result<(), KeyValueError> {
        let lease = self.shared.state().lease;
        let swap = Swap {
            key: format!("{SUSPECT_PREFIX}{fingerprint:016x}"),
            expected: Expected::Any,
            value: Some(crashes.to_string()),
            lease,
        };
        self.store.swap(swap).await?;
        tracing::warn!(
            event = "HH1254",
            fingerprint,
            crashes,
            "request suspected of crashing endpoints"
        );
        Ok(())
    }
}

/// Returns one stage for all that the operator is told of in the same word.
fn told_as(stage: Stage) -> Stage {
    if stage.is_final() {
        stage
    } else {
        Stage::Trial
    }
}
