//! Reads the changes that follow a generation.

use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue};

use super::error::ConfigStoreError;
use super::record::{self, CHANGE_PREFIX, StoredBody, StoredChange};
use crate::change::{Change, NumberedChange};

/// How many slots are listed at once; each may hold close to a megabyte.
const PAGE: usize = 16;

/// The changes after some generation, up to the newest.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    pub(super) changes: Vec<NumberedChange>,
    /// What a writer of the next generation must expect of its slot.
    pub(super) next_slot: Expected,
    /// The revision at which the end of the tail was read.
    pub(super) revision: u64,
}

/// The first few changes after some generation.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) changes: Vec<NumberedChange>,
    /// What a writer of the next generation must expect of its slot, if the page
    /// reaches the newest change.
    next_slot: Option<Expected>,
    revision: u64,
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
    loop {
        let reached = generation + changes.len() as u64;
        let Some(page) = read_page(kv, reached).await? else {
            return Ok(None);
        };
        changes.extend(page.changes);
        if let Some(next_slot) = page.next_slot {
            return Ok(Some(Tail {
                changes,
                next_slot,
                revision: page.revision,
            }));
        }
    }
}

/// Reads the first few changes after `generation`; `None` when the first of them
/// is overwritten.
pub(super) async fn read_page<K: KeyValue>(
    kv: &K,
    generation: u64,
) -> Result<Option<Page>, ConfigStoreError> {
    let mut next = generation + 1;
    let before = record::slot(next).checked_sub(1).map(record::slot_key);
    let listing = kv.list(CHANGE_PREFIX, before.as_deref(), PAGE).await?;
    let mut page = Page {
        changes: Vec::new(),
        next_slot: None,
        revision: listing.revision,
    };
    for entry in &listing.entries {
        match step(kv, entry, next).await? {
            Step::Change(change) => page.changes.push(change),
            Step::End(expected) => {
                page.next_slot = Some(expected);
                return Ok(Some(page));
            }
            Step::Overwritten => return Ok(None),
        }
        next += 1;
        if record::slot(next) == 0 {
            // The ring goes on at its first slot, which another listing begins with.
            return Ok(Some(page));
        }
    }
    if !listing.more {
        page.next_slot = Some(Expected::Absent);
    }
    Ok(Some(page))
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
