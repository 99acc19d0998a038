//! Stored records of deferred jobs and conditional writes.

use hemlockhitch_model::{NodeName, OrganisationName, RequestId};
use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::JobState;
use crate::{LedgerError, LedgerErrorKind};

/// Maximum number of attempts of a write when responses are lost.
const MAX_ATTEMPTS: u32 = 5;

/// Maximum size of a value; leaves room for its encoding in the store's
/// protocol.
const MAX_VALUE_BYTES: usize = 900 * 1024;

/// The claim of a node on a job. The token is unique to each claim, so that two
/// claims of one node differ.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct JobClaim {
    pub(super) job: RequestId,
    pub(super) node: NodeName,
    pub(super) token: RequestId,
}

/// The result of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct JobResult {
    pub(super) state: JobState,
    pub(super) ended_unix_ms: u64,
}

/// An entry of the index of ended jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct EndedJob {
    pub(super) request_id: RequestId,
    pub(super) organisation: OrganisationName,
    pub(super) ended_unix_ms: u64,
}

/// Outcome of a conditional write.
pub(super) enum WriteOutcome {
    /// The value was written, by this or an earlier attempt, at this version.
    Written(u64),
    /// The key was not as expected; holds its entry, if it exists.
    Conflict(Option<Entry>),
}

/// Writes a key if it is as expected, retrying if the response is lost. On a
/// conflict, an equal value counts as written by an earlier attempt.
pub(super) async fn write<K: KeyValue>(kv: &K, swap: Swap) -> Result<WriteOutcome, LedgerError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match kv.swap(swap.clone()).await {
            Ok(SwapOutcome::Written(version)) => return Ok(WriteOutcome::Written(version)),
            Ok(SwapOutcome::Conflict(entry)) => {
                return Ok(match entry {
                    Some(entry) if swap.value.as_ref() == Some(&entry.value) => {
                        WriteOutcome::Written(entry.version)
                    }
                    entry => WriteOutcome::Conflict(entry),
                });
            }
            Err(error) if error.kind() == KeyValueErrorKind::Unknown && attempts < MAX_ATTEMPTS => {
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Deletes a key unconditionally.
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
