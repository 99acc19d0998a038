//! Writes and reads snapshots of the configuration.

use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, Swap, SwapOutcome};

use super::blob::{self, Blob};
use super::error::ConfigStoreError;
use super::record::{self, SNAPSHOT_KEY, SNAPSHOT_PART_PREFIX, StoredSnapshot};
use crate::configuration::Configuration;

/// How many changes may follow a snapshot before the next one is written.
pub(super) const SNAPSHOT_INTERVAL: u64 = 64;

/// How often a snapshot is looked for while others replace it.
const MAX_READS: u32 = 8;

/// Reads the newest snapshot, or the empty configuration.
pub(super) async fn read<K: KeyValue>(kv: &K) -> Result<Configuration, ConfigStoreError> {
    for _ in 0..MAX_READS {
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

/// Writes a snapshot if the stored one lies [`SNAPSHOT_INTERVAL`] or more behind,
/// and returns a generation that the stored one has reached.
pub(super) async fn write_if_due<K: KeyValue>(
    kv: &K,
    configuration: &Configuration,
) -> Result<u64, ConfigStoreError> {
    let present = kv.get(SNAPSHOT_KEY).await?;
    let generation = stored_generation(present.as_ref())?;
    if configuration.generation < generation + SNAPSHOT_INTERVAL {
        return Ok(generation);
    }
    write(kv, configuration, present.as_ref()).await
}

fn stored_generation(entry: Option<&Entry>) -> Result<u64, ConfigStoreError> {
    let Some(entry) = entry else {
        return Ok(0);
    };
    let snapshot: StoredSnapshot = record::parse(entry)?;
    Ok(snapshot.generation)
}

/// Replaces the snapshot that `present` points to, and removes its parts and
/// those of writers that were lost.
///
/// A rival's parts that were listed here cannot come into use: the rival had read
/// the same or an older pointer, so its compare-and-swap fails.
async fn write<K: KeyValue>(
    kv: &K,
    configuration: &Configuration,
    present: Option<&Entry>,
) -> Result<u64, ConfigStoreError> {
    let former_parts = blob::list_parts(kv, SNAPSHOT_PART_PREFIX).await?;
    let text = record::text(configuration)?;
    let body = Blob::write(kv, SNAPSHOT_PART_PREFIX, &text).await?;
    let snapshot = StoredSnapshot {
        generation: configuration.generation,
        body,
    };
    let swap = Swap {
        key: SNAPSHOT_KEY.to_owned(),
        expected: present.map_or(Expected::Absent, |entry| Expected::Version(entry.version)),
        value: Some(record::text(&snapshot)?),
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
            blob::remove_parts(kv, former_parts).await?;
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
