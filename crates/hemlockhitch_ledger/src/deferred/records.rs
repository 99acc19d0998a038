//! Values of deferred work, and how they are written once.

use hemlockhitch_model::{NodeName, OrganisationName, RequestId};
use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::JobState;
use crate::{LedgerError, LedgerErrorKind};

/// How often a write whose answer was lost is tried again.
const MAX_TRIES: u32 = 5;

/// The longest value, which leaves room for its coding on the way to the store.
const MAX_VALUE_BYTES: usize = 900 * 1024;

/// Who works on a job. The token tells two tries of one node apart.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Holder {
    pub(super) job: RequestId,
    pub(super) node: NodeName,
    pub(super) token: RequestId,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct JobResult {
    pub(super) state: JobState,
    pub(super) ended_unix_ms: u64,
}

/// What is needed to delete a job that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct EndedJob {
    pub(super) request_id: RequestId,
    pub(super) organisation: OrganisationName,
    pub(super) ended_unix_ms: u64,
}

/// What lies at a key after a conditional write.
pub(super) enum Created {
    /// This write or a former try of it, at this version.
    Ours(u64),
    /// Another write.
    Other(Option<Entry>),
}

/// Writes a key if it is as expected, and resolves a lost answer by comparing
/// what lies there.
pub(super) async fn write<K: KeyValue>(kv: &K, swap: Swap) -> Result<Created, LedgerError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match kv.swap(swap.clone()).await {
            Ok(SwapOutcome::Written(version)) => return Ok(Created::Ours(version)),
            Ok(SwapOutcome::Conflict(entry)) => {
                return Ok(match entry {
                    Some(entry) if swap.value.as_ref() == Some(&entry.value) => {
                        Created::Ours(entry.version)
                    }
                    entry => Created::Other(entry),
                });
            }
            Err(error) if error.kind() == KeyValueErrorKind::Unknown && tries < MAX_TRIES => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Deletes a key, whatever lies there.
pub(super) async fn delete<K: KeyValue>(kv: &K, key: String) -> Result<(), LedgerError> {
    let swap = Swap {
        key,
        expected: Expected::Any,
        value: None,
        lease: None,
    };
    kv.swap(swap).await?;
    Ok(())
}

pub(super) fn encode(value: &impl Serialize) -> Result<String, LedgerError> {
    let text = serde_json::to_string(value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{error}; report this as a fault"),
        )
    })?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(LedgerError::new(
            LedgerErrorKind::TooLarge,
            format!(
                "record of {} bytes; keep it under {MAX_VALUE_BYTES}",
                text.len()
            ),
        ));
    }
    Ok(text)
}

pub(super) fn decode<T: DeserializeOwned>(entry: &Entry) -> Result<T, LedgerError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{}: {error}; restore the key from a copy", entry.key),
        )
    })
}
