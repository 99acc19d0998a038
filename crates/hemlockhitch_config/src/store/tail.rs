//! Reads the changes that follow a generation.

use hemlockhitch_platform::key_value::{Entry, Expected, KeyValue};

use super::error::ConfigStoreError;
use super::record::{self, CHANGE_PREFIX, StoredBody, StoredChange};
use crate::change::{Change, NumberedChange};

/// How many slots are listed at once.
const PAGE: usize = 64;

/// The changes after some generation, up to the newest.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    pub(super) changes: Vec<NumberedChange>,
    /// What a writer of the next generation must expect of its slot.
    pub(super) next_slot: Expected,
    /// The revision at which the end of the tail was read.
    pub(super) revision: u64,
}

/// What an entry is to a reader who expects some generation next.
enum Step {
    Change(NumberedChange),
    /// The slot still holds a change of the round before.
    End(Expected),
    /// The change that was looked for is overwritten.
    Overwritten,
}

/// Reads the changes after `generation`; `None` when some are overwritten.
pub(super) async fn read<K: KeyValue>(
    kv: &K,
    generation: u64,
) -> Result<Option<Tail>, ConfigStoreError> {
    let mut changes: Vec<NumberedChange> = Vec::new();
    let mut next = generation + 1;
    loop {
        let slot = record::slot(next);
        let before = slot.checked_sub(1).map(record::slot_key);
        let listing = kv.list(CHANGE_PREFIX, before.as_deref(), PAGE).await?;
        let mut end = (!listing.more).then_some(Expected::Absent);
        for entry in &listing.entries {
            match step(kv, entry, next).await? {
                Step::Change(change) => changes.push(change),
                Step::End(expected) => {
                    end = Some(expected);
                    break;
                }
                Step::Overwritten => return Ok(None),
            }
            next += 1;
            if record::slot(next) == 0 {
                // The ring goes on at its first slot, which another listing begins with.
                end = None;
                break;
            }
        }
        if let Some(next_slot) = end {
            return Ok(Some(Tail {
                changes,
                next_slot,
                revision: listing.revision,
            }));
        }
    }
}

async fn step<K: KeyValue>(kv: &K, entry: &Entry, next: u64) -> Result<Step, ConfigStoreError> {
    if entry.key != record::slot_key(record::slot(next)) {
        return Ok(Step::End(Expected::Absent));
    }
    let stored: StoredChange = record::parse(entry)?;
    if stored.generation < next {
        return Ok(Step::End(Expected::Version(entry.version)));
    }
    if stored.generation > next {
        return Ok(Step::Overwritten);
    }
    let change = body(kv, entry, stored.body).await?;
    Ok(change.map_or(Step::Overwritten, |change| {
        Step::Change(NumberedChange {
            generation: next,
            change,
        })
    }))
}

async fn body<K: KeyValue>(
    kv: &K,
    entry: &Entry,
    body: StoredBody,
) -> Result<Option<Change>, ConfigStoreError> {
    let blob = match body {
        StoredBody::Inline(change) => return Ok(Some(change)),
        StoredBody::Parts(blob) => blob,
    };
    let Some(text) = blob.read(kv).await? else {
        return Ok(None);
    };
    let change = serde_json::from_str(&text)
        .map_err(|error| ConfigStoreError::corrupt(&entry.key, &error))?;
    Ok(Some(change))
}
