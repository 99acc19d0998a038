//! The records of the configuration in the key-value service.
//!
//! Changes stand in a ring of slots. The first change of a slot creates its key;
//! each later one replaces the change [`RETAINED_GENERATIONS`] before it. No slot
//! is ever deleted, so a writer that was paused for any time fails its
//! compare-and-swap.

use hemlockhitch_ports::key_value::Entry;
use serde::{Deserialize, Serialize};

use super::blob::Blob;
use super::error::ConfigStoreError;
use crate::change::Change;
use crate::configuration::RETAINED_GENERATIONS;

/// Prefix of the slots.
pub(super) const CHANGE_PREFIX: &str = "config/change/";

/// Prefix of the parts of changes that are too large for one value.
pub(super) const CHANGE_PART_PREFIX: &str = "config/change_part/";

/// Key of the record that points to the newest snapshot.
pub(super) const SNAPSHOT_KEY: &str = "config/snapshot";

/// Prefix of the parts of snapshots.
pub(super) const SNAPSHOT_PART_PREFIX: &str = "config/snapshot_part/";

/// A change in its slot.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoredChange {
    pub(super) generation: u64,
    pub(super) body: StoredBody,
}

/// Where the text of a change is.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StoredBody {
    Inline(Change),
    Parts(Blob),
}

/// Points to a snapshot.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoredSnapshot {
    pub(super) generation: u64,
    pub(super) body: Blob,
}

/// Returns the slot of a generation; the first generation is 1.
pub(super) fn slot(generation: u64) -> u64 {
    generation.saturating_sub(1) % RETAINED_GENERATIONS
}

/// Returns the key of a slot.
pub(super) fn slot_key(slot: u64) -> String {
    format!("{CHANGE_PREFIX}{slot:06}")
}

/// Reads the record of an entry.
pub(super) fn parse<T: for<'de> Deserialize<'de>>(entry: &Entry) -> Result<T, ConfigStoreError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        tracing::error!(event = "HH0405", key = %entry.key, "stored record cannot be read");
        ConfigStoreError::corrupt(&entry.key, &error)
    })
}

/// Writes a record as text.
pub(super) fn text(record: &impl Serialize) -> Result<String, ConfigStoreError> {
    serde_json::to_string(record)
        .map_err(|error| ConfigStoreError::malformed(format!("cannot be written: {error}")))
}
