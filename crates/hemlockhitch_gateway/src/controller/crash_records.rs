//! Keeps in the store what is blocked because it crashes endpoints, for nodes that start
//! when no other node remembers it.

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, Swap};
use hemlockhitch_routing::crash_tracker::{Aged, Crash, Evidence, Suspect};
use hemlockhitch_routing::hash_bytes;
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Key prefix of the crashes for which something is blocked; a hash of it follows.
pub(crate) const CRASHES_PREFIX: &str = "hemlockhitch/crashes/";

/// How long such a record is kept, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// Added to the age of a part's crashes when a record is read, in milliseconds: what nodes
/// observed since refutes them, and they count for some minutes more.
const RECORDED_AGE_MS: u64 = 180_000;

/// The crashes for which a request or a prompt part is blocked.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct CrashRecord {
    suspect: Suspect,
    crashes: Vec<Aged<Crash>>,
}

/// Writes the crashes for which this node has begun to block something.
pub(super) async fn publish<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    loop {
        let unpublished = {
            let mut state = node_context.state();
            state.unpublished_crashes.pop_front()
        };
        let Some((suspect, evidence)) = unpublished else {
            return Ok(());
        };
        if let Err(error) = publish_one(node_context, store, suspect, &evidence).await {
            let mut state = node_context.state();
            state.unpublished_crashes.push_front((suspect, evidence));
            return Err(error);
        }
    }
}

async fn publish_one<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
    suspect: Suspect,
    evidence: &Evidence,
) -> Result<(), KeyValueError> {
    let key = format!(
        "{CRASHES_PREFIX}{:016x}",
        hash_bytes(format!("{suspect:?}"))
    );
    if node_context.mirror().get(&key).is_some() {
        return Ok(());
    }
    let record = CrashRecord {
        suspect,
        crashes: evidence.crashes.clone(),
    };
    let lease = store.lease_grant(RETENTION_MS).await?;
    let swap = Swap {
        key,
        expected: Expected::Any,
        // Serialising numbers and unit variants cannot fail.
        value: Some(serde_json::to_string(&record).unwrap_or_default()),
        lease: Some(lease),
    };
    store.swap(swap).await?;
    tracing::info!(
        event = "HH1254",
        ?suspect,
        "crashes of endpoints written to the store"
    );
    Ok(())
}

/// Applies the crashes that the store holds.
pub(crate) fn apply_crashes<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, entry: &Entry) {
    let record: CrashRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1256", key = entry.key, %error, "invalid record of crashes in the store");
            return;
        }
    };
    let crashes = record.crashes.into_iter().map(|crash| {
        let added_ms = if crash.fact.suspect.is_part() {
            RECORDED_AGE_MS
        } else {
            0
        };
        Aged {
            age_ms: crash.age_ms + added_ms,
            ..crash
        }
    });
    node_context.merge_evidence(&Evidence {
        crashes: crashes.collect(),
        refutations: Vec::new(),
    });
}
