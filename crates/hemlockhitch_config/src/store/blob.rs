//! Texts that exceed the value size limit of the key-value service.

use hemlockhitch_model::ChangeId;
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, Swap};
use serde::{Deserialize, Serialize};

use super::error::ConfigStoreError;

/// Maximum size of a text that is stored in one value, in bytes.
pub(super) const MAX_PART_BYTES: usize = 900_000;

/// Page size when listing parts, in entries.
const LIST_PAGE_ENTRIES: usize = 16;

/// Reference to a text that is split over several keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Blob {
    prefix: String,
    parts: u32,
}

impl Blob {
    /// Writes the text under a random prefix below `prefix`, which no other writer uses.
    ///
    /// The text takes effect only once a record refers to it, so a lost response is
    /// treated as a failed write.
    pub(super) async fn write<K: KeyValue>(
        kv: &K,
        prefix: &str,
        text: &str,
    ) -> Result<Self, ConfigStoreError> {
        let prefix = format!("{prefix}{}/", ChangeId::random());
        let mut parts = 0;
        for part in split(text) {
            let swap = Swap {
                key: part_key(&prefix, parts),
                expected: Expected::Any,
                value: Some(part.to_owned()),
                lease: None,
            };
            kv.swap(swap)
                .await
                .map_err(|error| ConfigStoreError::unavailable(&error))?;
            parts += 1;
        }
        Ok(Self { prefix, parts })
    }

    /// Reads the text; `None` if a part has been removed in the meantime.
    pub(super) async fn read<K: KeyValue>(
        &self,
        kv: &K,
    ) -> Result<Option<String>, ConfigStoreError> {
        let mut text = String::new();
        for part in 0..self.parts {
            let Some(entry) = kv.get(&part_key(&self.prefix, part)).await? else {
                return Ok(None);
            };
            text.push_str(&entry.value);
        }
        Ok(Some(text))
    }

    /// Returns whether the key is a part of this blob.
    pub(super) fn owns(&self, key: &str) -> bool {
        key.starts_with(&self.prefix)
    }
}

/// A stored part and its version, for conditional removal.
#[derive(Clone, Debug)]
pub(super) struct PartVersion {
    pub(super) key: String,
    version: u64,
}

/// Lists the parts under a prefix.
pub(super) async fn list_parts<K: KeyValue>(
    kv: &K,
    prefix: &str,
) -> Result<Vec<PartVersion>, ConfigStoreError> {
    let mut parts: Vec<PartVersion> = Vec::new();
    loop {
        let after = parts.last().map(|part| part.key.clone());
        let listing = kv.list(prefix, after.as_deref(), LIST_PAGE_ENTRIES).await?;
        parts.extend(listing.entries.iter().map(part_version));
        if !listing.more {
            return Ok(parts);
        }
    }
}

/// Removes the parts that have not been overwritten since they were listed.
pub(super) async fn remove_parts<K: KeyValue>(
    kv: &K,
    parts: impl IntoIterator<Item = PartVersion>,
) -> Result<(), ConfigStoreError> {
    for part in parts {
        kv.swap(Swap::delete(part.key, part.version))
            .await
            .map_err(|error| ConfigStoreError::unavailable(&error))?;
    }
    Ok(())
}

fn part_version(entry: &Entry) -> PartVersion {
    PartVersion {
        key: entry.key.clone(),
        version: entry.version,
    }
}

fn part_key(prefix: &str, part: u32) -> String {
    format!("{prefix}{part:04}")
}

/// Splits a text at character boundaries into parts of at most [`MAX_PART_BYTES`].
fn split(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let end = rest.floor_char_boundary(MAX_PART_BYTES.min(rest.len()));
        let (part, remainder) = rest.split_at(end);
        rest = remainder;
        Some(part)
    })
}
