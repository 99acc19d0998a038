//! Submission of changes with optimistic concurrency.

use std::collections::BTreeSet;
use std::sync::Arc;

use hemlockhitch_model::Now;
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome};

use super::blob::{Blob, MAX_PART_BYTES};
use super::error::ConfigStoreError;
use super::record::{self, StoredBody, StoredChange};
use super::slot_parts::SlotParts;
use super::submit_outcome::SubmitOutcome;
use super::{ConfigStore, snapshot, tail};
use crate::change::Change;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};
use crate::validation;

/// Maximum number of attempts to write a change against concurrent writers.
const MAX_ATTEMPTS: u32 = 16;

/// Outcome of one compare-and-swap of a slot.
enum WriteOutcome {
    Written,
    /// Another writer took the slot first.
    Conflict,
    /// The response was lost, so the change may have been written.
    Unknown,
}

impl<K: KeyValue> ConfigStore<K> {
    /// Submits a change.
    ///
    /// The result is a conflict if another change modified one of its rows after its base
    /// generation; changes to other rows do not conflict. Submitting is idempotent: a
    /// change whose id is already stored is not written again. `now` becomes the time of
    /// the change.
    ///
    /// # Errors
    ///
    /// After [`OutcomeUnknown`](super::ConfigStoreErrorKind::OutcomeUnknown) the change may have been
    /// written: resubmit the same change. After any other error this call has written
    /// nothing.
    pub async fn submit(
        &self,
        change: Change,
        now: Now,
    ) -> Result<SubmitOutcome, ConfigStoreError> {
        check_well_formed(&change)?;
        let change = Change {
            at_unix_ms: now.unix_ms,
            ..change
        };
        let mut pending_generation = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_submit(&change, &mut pending_generation).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(error) if pending_generation.is_some() => {
                    return Err(ConfigStoreError::outcome_unknown(&error));
                }
                Err(error) => return Err(error),
            }
        }
        let error = ConfigStoreError::contended();
        Err(match pending_generation {
            Some(_) => ConfigStoreError::outcome_unknown(&error),
            None => error,
        })
    }

    /// Attempts to commit the change on top of the newest configuration; `None` means that
    /// another attempt is needed.
    ///
    /// `pending_generation` is the generation that the change may have created in an
    /// earlier attempt with an unknown outcome. It is cleared once that generation has
    /// been read, as this resolves the outcome.
    async fn try_submit(
        &self,
        change: &Change,
        pending_generation: &mut Option<u64>,
    ) -> Result<Option<SubmitOutcome>, ConfigStoreError> {
        let tail = self.refresh().await?;
        let configuration = self.cache.configuration();
        if pending_generation.is_some_and(|generation| generation <= configuration.generation) {
            *pending_generation = None;
        }
        if let Some(outcome) = self.resolve_without_write(change, &configuration).await? {
            return Ok(Some(outcome));
        }
        match self
            .try_write(change, &configuration, tail.next_slot)
            .await?
        {
            WriteOutcome::Written => Ok(Some(self.finish_written(change, &configuration).await)),
            WriteOutcome::Conflict => Ok(None),
            WriteOutcome::Unknown => {
                *pending_generation = Some(configuration.generation + 1);
                Ok(None)
            }
        }
    }

    /// Returns the outcome if it can be determined without a write: the change is already
    /// stored, conflicts, or is invalid. `None` means that the change can be written.
    async fn resolve_without_write(
        &self,
        change: &Change,
        configuration: &Configuration,
    ) -> Result<Option<SubmitOutcome>, ConfigStoreError> {
        if let Some(generation) = self.find_written(change).await? {
            return Ok(Some(SubmitOutcome::Written { generation }));
        }
        check_base_generation(change, configuration)?;
        let rows = configuration.conflicting_rows(change);
        if !rows.is_empty() {
            return Ok(Some(SubmitOutcome::Conflict {
                generation: configuration.generation,
                rows,
            }));
        }
        let mut after = configuration.clone();
        after.apply(change);
        let faults = validation::introduced_faults(configuration, &after);
        if !faults.is_empty() {
            return Err(ConfigStoreError::invalid(faults));
        }
        Ok(None)
    }

    /// Returns the generation created by the change if it is already stored.
    async fn find_written(&self, change: &Change) -> Result<Option<u64>, ConfigStoreError> {
        if let Some(generation) = self.cache.generation_of(change.id) {
            return Ok(Some(generation));
        }
        if change.base_generation >= self.cache.ids_known_after() {
            return Ok(None);
        }
        let tail = tail::read(&self.kv, change.base_generation).await?;
        let tail = tail.ok_or_else(|| ConfigStoreError::too_old(change.base_generation))?;
        Ok(tail
            .changes
            .iter()
            .find(|numbered| numbered.change.id == change.id)
            .map(|numbered| numbered.generation))
    }

    /// Attempts to write the change as the generation after `configuration`.
    async fn try_write(
        &self,
        change: &Change,
        configuration: &Configuration,
        next_slot: Expected,
    ) -> Result<WriteOutcome, ConfigStoreError> {
        let generation = configuration.generation + 1;
        if next_slot != Expected::Absent {
            self.require_snapshot(configuration).await?;
        }
        let slot = record::slot_of(generation);
        let parts = SlotParts::list(&self.kv, slot, next_slot).await?;
        let body = self.write_body(change, &parts).await?;
        let record = StoredChange { generation, body };
        let swap = Swap {
            key: record::slot_key(slot),
            expected: next_slot,
            value: Some(record::to_json(&record)?),
            lease: None,
        };
        match self.kv.swap(swap).await {
            Ok(SwapOutcome::Written(_)) => {
                parts.remove_superseded(&self.kv).await;
                Ok(WriteOutcome::Written)
            }
            Ok(SwapOutcome::Conflict(_)) => {
                parts.remove_own(&self.kv, &record.body).await;
                Ok(WriteOutcome::Conflict)
            }
            Err(error) if error.kind() == KeyValueErrorKind::Unknown => {
                tracing::warn!(
                    event = "HH0404",
                    generation,
                    change = %change.id,
                    "response to a configuration change was lost; reading it back"
                );
                Ok(WriteOutcome::Unknown)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Returns the body of the change's record; writes a blob if the change is too large
    /// for its slot.
    async fn write_body(
        &self,
        change: &Change,
        parts: &SlotParts,
    ) -> Result<StoredBody, ConfigStoreError> {
        let text = record::to_json(change)?;
        if text.len() <= MAX_PART_BYTES {
            return Ok(StoredBody::Inline(change.clone()));
        }
        let blob = Blob::write(&self.kv, &parts.prefix, &text).await?;
        Ok(StoredBody::Parts(blob))
    }

    /// Ensures that the stored snapshot includes the change whose slot is about to be
    /// overwritten.
    async fn require_snapshot(
        &self,
        configuration: &Configuration,
    ) -> Result<(), ConfigStoreError> {
        let needed = (configuration.generation + 1).saturating_sub(RETAINED_GENERATIONS);
        if self.cache.snapshot_generation() >= needed {
            return Ok(());
        }
        let generation = snapshot::write_if_due(&self.kv, configuration).await?;
        self.cache.record_snapshot(generation);
        if generation >= needed {
            return Ok(());
        }
        Err(ConfigStoreError::contended())
    }

    /// Updates the cache after a successful write, and writes a snapshot if one is due.
    async fn finish_written(&self, change: &Change, before: &Arc<Configuration>) -> SubmitOutcome {
        let generation = before.generation + 1;
        self.cache.apply_written(change, generation);
        tracing::info!(
            event = "HH0403",
            generation,
            change = %change.id,
            "configuration change written"
        );
        let configuration = self.cache.configuration();
        match snapshot::write_if_due(&self.kv, &configuration).await {
            Ok(generation) => self.cache.record_snapshot(generation),
            Err(error) => tracing::warn!(
                event = "HH0402",
                %error,
                "failed to write the configuration snapshot; a later change retries"
            ),
        }
        SubmitOutcome::Written { generation }
    }
}

fn check_well_formed(change: &Change) -> Result<(), ConfigStoreError> {
    if change.edits.is_empty() {
        return Err(ConfigStoreError::malformed(
            "the change has no edit; leave it out",
        ));
    }
    let mut keys = BTreeSet::new();
    for edit in &change.edits {
        if !keys.insert(&edit.key) {
            let detail = format!("{} is edited twice; edit each row once", edit.key);
            return Err(ConfigStoreError::malformed(detail));
        }
        if edit.row.as_ref().is_some_and(|row| row.key() != edit.key) {
            let detail = format!("the row under {} has another key; correct it", edit.key);
            return Err(ConfigStoreError::malformed(detail));
        }
    }
    Ok(())
}

fn check_base_generation(
    change: &Change,
    configuration: &Configuration,
) -> Result<(), ConfigStoreError> {
    let base = change.base_generation;
    if base > configuration.generation {
        let detail = format!("generation {base} does not exist; load the configuration again");
        return Err(ConfigStoreError::malformed(detail));
    }
    Ok(())
}
