//! Shares this node's evidence about new versions with the other nodes.

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, LeaseId, Swap};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::{NodeContext, State};

/// Key prefix of the nodes' evidence; the service and the node follow.
pub(crate) const EVIDENCE_PREFIX: &str = "hemlockhitch/evidence/";

/// One node's evidence about a new version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EvidenceRecord {
    target: String,
    /// Log-likelihood ratio of "the version is worse than the baseline" to "it is as
    /// good".
    log_ratio: f64,
}

/// Writes this node's evidence about a roll-out if it has changed enough.
pub(super) async fn publish<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
    service: &ServiceName,
) -> Result<(), KeyValueError> {
    let Some((record, lease)) = unpublished_evidence(node_context, service) else {
        return Ok(());
    };
    let node = &node_context.settings().node;
    let swap = Swap {
        key: format!("{EVIDENCE_PREFIX}{service}/{node}"),
        expected: Expected::Any,
        // Serialising a string and a finite number cannot fail.
        value: Some(serde_json::to_string(&record).unwrap_or_default()),
        lease,
    };
    store.swap(swap).await?;
    if let Some(roll_out) = node_context.state().roll_outs.get_mut(service) {
        roll_out.evidence().mark_shared(record.log_ratio);
    }
    Ok(())
}

fn unpublished_evidence<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    service: &ServiceName,
) -> Option<(EvidenceRecord, Option<LeaseId>)> {
    let mut state = node_context.state();
    let lease = state.lease;
    if state.lease_is_void {
        return None;
    }
    let roll_out = state.roll_outs.get_mut(service)?;
    if roll_out.stage().is_final() {
        return None;
    }
    let log_ratio = roll_out.evidence().unshared_llr()?;
    let target = roll_out.order().target.as_str().to_owned();
    Some((EvidenceRecord { target, log_ratio }, lease))
}

/// Applies the evidence of another node.
pub(crate) fn apply_evidence(
    state: &mut State,
    own_node: &str,
    service_and_node: &str,
    entry: &Entry,
) {
    let record: EvidenceRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1259", key = entry.key, %error, "invalid evidence in the store");
            return;
        }
    };
    let Some((service, node)) = service_and_node.split_once('/') else {
        return;
    };
    if node == own_node {
        return;
    }
    if let Some(roll_out) = state.roll_outs.get_mut(&ServiceName::from(service))
        && roll_out.order().target.as_str() == record.target
    {
        roll_out.evidence().merge_peer(node, record.log_ratio);
    }
}
