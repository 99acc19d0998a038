//! Snapshots of the configuration.

use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, Swap, SwapOutcome};

use super::blob::{self, Blob};
use super::error::ConfigStoreError;
use super::record::{self, SNAPSHOT_KEY, SNAPSHOT_PART_PREFIX, StoredSnapshot};
use crate::configuration::Configuration;

/// Number of changes after which the next snapshot is due.
pub(super) const SNAPSHOT_INTERVAL: u64 = 64;

/// Maximum number of attempts to read a snapshot that is being replaced.
const MAX_READ_ATTEMPTS: u32 = 8;

/// Reads the newest snapshot; the default configuration if there is none.
pub(super) async fn read<K: KeyValue>(kv: &K) -> Result<Configuration, ConfigStoreError> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some(entry) = kv.get(SNAPSHOT_KEY).await? else {
            return Ok(Configuration::default());
        };
        let snapshot: StoredSnapshot = record::parse(&entry)?;
        if let Some(text) = snapshot.body.read(kv).await? {
            return serde_json::from_str(&text)
                .map_err(|error| ConfigStoreError::corrupt(&entry.key, &error));
        }
    }
    Err(ConfigStoreError::contended())
}

/// Writes a snapshot if the stored one is at least [`SNAPSHOT_INTERVAL`] generations
/// behind, and returns a lower bound of the stored snapshot's generation.
pub(super) async fn write_if_due<K: KeyValue>(
    kv: &K,
    configuration: &Configuration,
) -> Result<u64, ConfigStoreError> {
    let current = kv.get(SNAPSHOT_KEY).await?;
    let generation = stored_generation(current.as_ref())?;
    if configuration.generation < generation + SNAPSHOT_INTERVAL {
        return Ok(generation);
    }
    write(kv, configuration, current.as_ref()).await
}

fn stored_generation(entry: Option<&Entry>) -> Result<u64, ConfigStoreError> {
    let Some(entry) = entry else {
        return Ok(0);
    };
    let snapshot: StoredSnapshot = record::parse(entry)?;
    Ok(snapshot.generation)
}

/// Replaces the snapshot that `current` refers to, and removes its parts and those left
/// behind by failed writers.
///
/// Removing the parts of a concurrent writer is safe if they were listed before the
/// swap: that writer has read the same or an older pointer, so its compare-and-swap
/// fails.
async fn write<K: KeyValue>(
    kv: &K,
    configuration: &Configuration,
    current: Option<&Entry>,
) -> Result<u64, ConfigStoreError> {
    let superseded_parts = blob::list_parts(kv, SNAPSHOT_PART_PREFIX).await?;
    let text = record::to_json(configuration)?;
    let body = Blob::write(kv, SNAPSHOT_PART_PREFIX, &text).await?;
    let snapshot = StoredSnapshot {
        generation: configuration.generation,
        body,
    };
    let swap = Swap {
        key: SNAPSHOT_KEY.to_owned(),
        expected: current.map_or(Expected::Absent, |entry| Expected::Version(entry.version)),
        value: Some(record::to_json(&snapshot)?),
        lease: None,
    };
    let outcome = kv
        .swap(swap)
        .await
        .map_err(|error| ConfigStoreError::unavailable(&error))?;
    match outcome {
        SwapOutcome::Written(_) => {
            tracing::info!(
                event = "HH0401",
                generation = snapshot.generation,
                "configuration snapshot written"
            );
            blob::remove_parts(kv, superseded_parts).await?;
            Ok(snapshot.generation)
        }
        SwapOutcome::Conflict(entry) => {
            remove_own(kv, &snapshot.body).await?;
            stored_generation(entry.as_ref())
        }
    }
}

async fn remove_own<K: KeyValue>(kv: &K, body: &Blob) -> Result<(), ConfigStoreError> {
    let parts = blob::list_parts(kv, SNAPSHOT_PART_PREFIX).await?;
    let own = parts.into_iter().filter(|part| body.owns(&part.key));
    blob::remove_parts(kv, own).await
}
