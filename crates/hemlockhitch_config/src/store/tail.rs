//! Reading of the changes that follow a generation.

use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue};

use super::error::ConfigStoreError;
use super::record::{self, CHANGE_PREFIX, StoredBody, StoredChange};
use crate::change::{Change, NumberedChange};

/// Page size when listing slots; a slot may hold close to a megabyte.
const PAGE_SLOTS: usize = 16;

/// All changes after a generation, up to the newest.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    pub(super) changes: Vec<NumberedChange>,
    /// Precondition for the compare-and-swap that writes the next generation.
    pub(super) next_slot: Expected,
    /// Store revision at which the end of the tail was read.
    pub(super) revision: u64,
}

/// The first changes after a generation.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) changes: Vec<NumberedChange>,
    /// Precondition for the compare-and-swap that writes the next generation; `None` if
    /// the page ends before the newest change.
    next_slot: Option<Expected>,
    revision: u64,
}

/// Content of a slot, relative to the generation that the reader expects in it.
enum SlotState {
    /// The slot holds the expected change.
    Change(NumberedChange),
    /// The expected change has not been written: the slot is absent or holds an older
    /// change. Contains the precondition for writing it.
    End(Expected),
    /// The expected change was overwritten by a newer one.
    Overwritten,
}

/// Reads all changes after `generation`; `None` if some have been overwritten.
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

/// Reads a page of the changes after `generation`; `None` if one of them has been
/// overwritten.
pub(super) async fn read_page<K: KeyValue>(
    kv: &K,
    generation: u64,
) -> Result<Option<Page>, ConfigStoreError> {
    let mut next = generation + 1;
    let before = record::slot_of(next).checked_sub(1).map(record::slot_key);
    let listing = kv
        .list(CHANGE_PREFIX, before.as_deref(), PAGE_SLOTS)
        .await?;
    let mut page = Page {
        changes: Vec::new(),
        next_slot: None,
        revision: listing.revision,
    };
    for entry in &listing.entries {
        match read_slot(kv, entry, next).await? {
            SlotState::Change(change) => page.changes.push(change),
            SlotState::End(expected) => {
                page.next_slot = Some(expected);
                return Ok(Some(page));
            }
            SlotState::Overwritten => return Ok(None),
        }
        next += 1;
        if record::slot_of(next) == 0 {
            // The ring buffer wraps around; the next page starts at the first slot.
            return Ok(Some(page));
        }
    }
    if !listing.more {
        page.next_slot = Some(Expected::Absent);
    }
    Ok(Some(page))
}

async fn read_slot<K: KeyValue>(
    kv: &K,
    entry: &Entry,
    next: u64,
) -> Result<SlotState, ConfigStoreError> {
    if entry.key != record::slot_key(record::slot_of(next)) {
        return Ok(SlotState::End(Expected::Absent));
    }
    let stored: StoredChange = record::parse(entry)?;
    if stored.generation < next {
        return Ok(SlotState::End(Expected::Version(entry.version)));
    }
    if stored.generation > next {
        return Ok(SlotState::Overwritten);
    }
    let change = read_body(kv, entry, stored.body).await?;
    Ok(change.map_or(SlotState::Overwritten, |change| {
        SlotState::Change(NumberedChange {
            generation: next,
            change,
        })
    }))
}

async fn read_body<K: KeyValue>(
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
