//! Keeps in the store what is blocked because it crashes endpoints, for nodes that start
//! when no other node remembers it.

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, Swap, SwapOutcome};
use hemlockhitch_routing::crash_tracker::{Aged, Crash, Evidence, Suspect};
use hemlockhitch_routing::hash_bytes;
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Key prefix of the crashes for which something is blocked; a hash of it follows.
pub(crate) const CRASHES_PREFIX: &str = "hemlockhitch/crashes/";

/// How long such a record is kept, in milliseconds.
const RETENTION_MS: u64 = 300_000;

/// Time between the nodes that delete a refuted record, in milliseconds, if the node that
/// served the suspect has not: a write and the watch that reports it.
const DELETION_STAGGER_MS: u64 = 250;

/// The crashes for which a request or a prompt part is blocked.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct CrashRecord {
    suspect: Suspect,
    crashes: Vec<Aged<Crash>>,
}

/// Writes the crashes for which this node has begun to block something, and deletes the
/// records that are refuted.
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
            break;
        };
        if !node_context.state().crash_tracker.is_verdict(suspect) {
            continue;
        }
        if let Err(error) = publish_one(node_context, store, suspect, &evidence).await {
            let mut state = node_context.state();
            state.unpublished_crashes.push_front((suspect, evidence));
            return Err(error);
        }
    }
    delete_refuted(node_context, store).await
}

/// Deletes records of suspects that were served. The node that served one does so at once,
/// the others one after the other if the record is still there.
async fn delete_refuted<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    let records: Vec<(Suspect, Entry)> = {
        let mirror = node_context.mirror();
        let entries = mirror.with_prefix(CRASHES_PREFIX);
        let records = entries.filter_map(|entry| {
            let record: CrashRecord = serde_json::from_str(&entry.value).ok()?;
            Some((record.suspect, entry.clone()))
        });
        records.collect()
    };
    for (suspect, entry) in records {
        if !is_deletion_due(node_context, suspect, &entry.key) {
            continue;
        }
        // A conflict means that the record was deleted or written again.
        let deletion = Swap::delete(entry.key, entry.version);
        if let SwapOutcome::Written(_) = store.swap(deletion).await? {
            tracing::info!(
                event = "HH1219",
                ?suspect,
                "refuted record of crashes deleted"
            );
        }
    }
    Ok(())
}

fn is_deletion_due<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    suspect: Suspect,
    key: &str,
) -> bool {
    let now = node_context.now();
    let mut state = node_context.state();
    if !state.crash_tracker.is_refuted(suspect) {
        state.record_deletions.remove(key);
        return false;
    }
    let delay_ms = if state.crash_tracker.has_own_refutation(suspect) {
        0
    } else {
        let nodes = state.node_shares(node_context.settings());
        (nodes.rank(hash_bytes(key)) as u64 + 1) * DELETION_STAGGER_MS
    };
    let deletions = &mut state.record_deletions;
    let due_mono_ms = deletions.entry(key.to_owned());
    let due_mono_ms = due_mono_ms.or_insert(now.mono_ms + delay_ms);
    if now.mono_ms < *due_mono_ms {
        return false;
    }
    // The mirror may show the record for a while after its deletion.
    *due_mono_ms = now.mono_ms + RETENTION_MS;
    true
}

async fn publish_one<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
    suspect: Suspect,
    evidence: &Evidence,
) -> Result<(), KeyValueError> {
    let key = key_of(suspect);
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

fn key_of(suspect: Suspect) -> String {
    format!(
        "{CRASHES_PREFIX}{:016x}",
        hash_bytes(format!("{suspect:?}"))
    )
}

/// Takes the record of a block in the store as a suspicion: what nodes observed since may
/// have refuted it.
pub(crate) fn apply_crashes<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, entry: &Entry) {
    let record: CrashRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1256", key = entry.key, %error, "invalid record of crashes in the store");
            return;
        }
    };
    let evidence = Evidence {
        crashes: record.crashes,
        refutations: Vec::new(),
    };
    node_context.add_crash_record(record.suspect, &evidence);
}

/// Drops the suspicion of a record that was deleted or has expired.
pub(crate) fn remove_crashes<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, key: &str) {
    let removed = {
        let mut state = node_context.state();
        state.record_deletions.remove(key);
        let mut recorded = state.crash_tracker.recorded();
        recorded.find(|suspect| key_of(*suspect) == key)
    };
    if let Some(suspect) = removed {
        node_context.remove_crash_record(suspect);
    }
}
