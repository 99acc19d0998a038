//! Submits changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use hemlockhitch_model::Now;
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome};

use super::blob::{Blob, MAX_PART_BYTES};
use super::error::ConfigStoreError;
use super::record::{self, StoredBody, StoredChange};
use super::slot_parts::SlotParts;
use super::submission::Submission;
use super::{ConfigStore, snapshot, tail};
use crate::change::Change;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};
use crate::validation;

/// How often a change is tried again after others won the race.
const MAX_ATTEMPTS: u32 = 16;

/// The outcome of one compare-and-swap.
enum Attempt {
    Written,
    Lost,
    Doubtful,
}

impl<K: KeyValue> ConfigStore<K> {
    /// Submits a change.
    ///
    /// The change is refused as a conflict if others changed one of its rows
    /// after its base generation; changes of other rows do not matter. A change
    /// whose id is stored already is not written again. `now` becomes the time of
    /// the change.
    ///
    /// # Errors
    ///
    /// After [`Unknown`](super::ConfigStoreErrorKind::Unknown) the change may have
    /// been written: submit the same change again. After every other kind this
    /// call has written nothing.
    pub async fn submit(&self, change: Change, now: Now) -> Result<Submission, ConfigStoreError> {
        check_form(&change)?;
        let change = Change {
            at_unix_ms: now.unix_ms,
            ..change
        };
        let mut doubt = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.round(&change, &mut doubt).await {
                Ok(Some(submission)) => return Ok(submission),
                Ok(None) => {}
                Err(error) if doubt.is_some() => return Err(ConfigStoreError::unknown(&error)),
                Err(error) => return Err(error),
            }
        }
        let error = ConfigStoreError::contended();
        Err(match doubt {
            Some(_) => ConfigStoreError::unknown(&error),
            None => error,
        })
    }

    /// Tries the change once against the newest configuration; `None` means that
    /// another round is needed.
    ///
    /// `doubt` holds the generation that the change may have become. Whether it
    /// has is known as soon as that generation can be read.
    async fn round(
        &self,
        change: &Change,
        doubt: &mut Option<u64>,
    ) -> Result<Option<Submission>, ConfigStoreError> {
        let tail = self.refresh().await?;
        let configuration = self.known.configuration();
        if doubt.is_some_and(|generation| generation <= configuration.generation) {
            *doubt = None;
        }
        if let Some(submission) = self.decide(change, &configuration).await? {
            return Ok(Some(submission));
        }
        match self.attempt(change, &configuration, tail.next_slot).await? {
            Attempt::Written => Ok(Some(self.written(change, &configuration).await)),
            Attempt::Lost => Ok(None),
            Attempt::Doubtful => {
                *doubt = Some(configuration.generation + 1);
                Ok(None)
            }
        }
    }

    /// Decides the change as far as that needs no write.
    async fn decide(
        &self,
        change: &Change,
        configuration: &Configuration,
    ) -> Result<Option<Submission>, ConfigStoreError> {
        if let Some(generation) = self.find(change).await? {
            return Ok(Some(Submission::Written { generation }));
        }
        check_base(change, configuration)?;
        let rows = configuration.conflicts(change);
        if !rows.is_empty() {
            return Ok(Some(Submission::Conflict {
                generation: configuration.generation,
                rows,
            }));
        }
        let mut after = configuration.clone();
        after.apply(change);
        let faults = validation::new_faults(configuration, &after);
        if !faults.is_empty() {
            return Err(ConfigStoreError::invalid(faults));
        }
        Ok(None)
    }

    /// Returns the generation that the change has become already, if it has.
    async fn find(&self, change: &Change) -> Result<Option<u64>, ConfigStoreError> {
        if let Some(generation) = self.known.generation_of(change.id) {
            return Ok(Some(generation));
        }
        if change.base_generation >= self.known.ids_after() {
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

    /// Tries to write the change as the generation after `configuration`.
    async fn attempt(
        &self,
        change: &Change,
        configuration: &Configuration,
        next_slot: Expected,
    ) -> Result<Attempt, ConfigStoreError> {
        let generation = configuration.generation + 1;
        if next_slot != Expected::Absent {
            self.require_snapshot(configuration).await?;
        }
        let slot = record::slot(generation);
        let parts = SlotParts::list(&self.kv, slot, next_slot).await?;
        let body = self.write_body(change, &parts).await?;
        let record = StoredChange { generation, body };
        let swap = Swap {
            key: record::slot_key(slot),
            expected: next_slot,
            value: Some(record::text(&record)?),
            lease: None,
        };
        match self.kv.swap(swap).await {
            Ok(SwapOutcome::Written(_)) => {
                parts.remove_former(&self.kv).await;
                Ok(Attempt::Written)
            }
            Ok(SwapOutcome::Conflict(_)) => {
                parts.remove_own(&self.kv, &record.body).await;
                Ok(Attempt::Lost)
            }
            Err(error) if error.kind() == KeyValueErrorKind::Unknown => {
                tracing::warn!(
                    event = "HH0404",
                    generation,
                    change = %change.id,
                    "answer to a change was lost; reading back"
                );
                Ok(Attempt::Doubtful)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Writes the text of a change that is too large for its slot.
    async fn write_body(
        &self,
        change: &Change,
        parts: &SlotParts,
    ) -> Result<StoredBody, ConfigStoreError> {
        let text = record::text(change)?;
        if text.len() <= MAX_PART_BYTES {
            return Ok(StoredBody::Inline(change.clone()));
        }
        let blob = Blob::write(&self.kv, &parts.prefix, &text).await?;
        Ok(StoredBody::Parts(blob))
    }

    /// Makes sure that a snapshot holds the change whose slot is about to be
    /// overwritten.
    async fn require_snapshot(
        &self,
        configuration: &Configuration,
    ) -> Result<(), ConfigStoreError> {
        let needed = (configuration.generation + 1).saturating_sub(RETAINED_GENERATIONS);
        if self.known.snapshot_generation() >= needed {
            return Ok(());
        }
        let generation = snapshot::write_if_due(&self.kv, configuration).await?;
        self.known.note_snapshot(generation);
        if generation >= needed {
            return Ok(());
        }
        Err(ConfigStoreError::contended())
    }

    /// Notes a change that was written just now.
    async fn written(&self, change: &Change, before: &Arc<Configuration>) -> Submission {
        let generation = before.generation + 1;
        self.known.take_written(change, generation);
        tracing::info!(event = "HH0403", generation, change = %change.id, "change written");
        let configuration = self.known.configuration();
        match snapshot::write_if_due(&self.kv, &configuration).await {
            Ok(generation) => self.known.note_snapshot(generation),
            Err(error) => tracing::warn!(
                event = "HH0402",
                %error,
                "configuration snapshot not written; a later change tries again"
            ),
        }
        Submission::Written { generation }
    }
}

fn check_form(change: &Change) -> Result<(), ConfigStoreError> {
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

fn check_base(change: &Change, configuration: &Configuration) -> Result<(), ConfigStoreError> {
    let base = change.base_generation;
    if base > configuration.generation {
        let detail = format!("generation {base} does not exist; load the configuration again");
        return Err(ConfigStoreError::malformed(detail));
    }
    Ok(())
}
