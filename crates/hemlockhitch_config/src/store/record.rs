//! Records of the configuration in the key-value service.
//!
//! Changes are stored in a ring buffer of slots. The first change of a slot creates its
//! key; each later one overwrites the change that is [`RETAINED_GENERATIONS`] older. Slots
//! are never deleted, so the compare-and-swap of a writer that was paused for any length
//! of time fails.

use hemlockhitch_ports::key_value::Entry;
use serde::{Deserialize, Serialize};

use super::blob::Blob;
use super::error::ConfigStoreError;
use crate::change::Change;
use crate::configuration::RETAINED_GENERATIONS;

/// Key prefix of the slots.
pub(super) const CHANGE_PREFIX: &str = "config/change/";

/// Key prefix of the parts of changes that exceed one value.
pub(super) const CHANGE_PART_PREFIX: &str = "config/change_part/";

/// Key of the record that refers to the newest snapshot.
pub(super) const SNAPSHOT_KEY: &str = "config/snapshot";

/// Key prefix of the parts of snapshots.
pub(super) const SNAPSHOT_PART_PREFIX: &str = "config/snapshot_part/";

/// Record of a change in its slot.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct StoredChange {
    pub(super) generation: u64,
    pub(super) body: StoredBody,
}

/// Content of a change, inline or as a reference to its parts.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StoredBody {
    Inline(Change),
    Parts(Blob),
}

/// Record that refers to a snapshot.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub(super) generation: u64,
    pub(super) body: Blob,
}

/// Returns the index of the slot of a generation; generations start at 1.
pub(super) fn slot_of(generation: u64) -> u64 {
    generation.saturating_sub(1) % RETAINED_GENERATIONS
}

/// Returns the key of a slot.
pub(super) fn slot_key(slot: u64) -> String {
    format!("{CHANGE_PREFIX}{slot:06}")
}

/// Parses the record in an entry.
pub(super) fn parse<T: for<'de> Deserialize<'de>>(entry: &Entry) -> Result<T, ConfigStoreError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        tracing::error!(event = "HH0405", key = %entry.key, "stored record cannot be read");
        ConfigStoreError::corrupt(&entry.key, &error)
    })
}

/// Serialises a record as JSON.
pub(super) fn to_json(record: &impl Serialize) -> Result<String, ConfigStoreError> {
    serde_json::to_string(record)
        .map_err(|error| ConfigStoreError::malformed(format!("cannot be written: {error}")))
}
