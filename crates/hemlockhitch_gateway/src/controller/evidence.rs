//! Tells the other nodes what this one has seen of new versions.

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, LeaseId, Swap};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::{Shared, State};

/// Where nodes tell of their evidence, by service and node.
pub(crate) const EVIDENCE_PREFIX: &str = "hemlockhitch/evidence/";

/// One node's evidence on a new version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct EvidenceRecord {
    target: String,
    /// How much likelier the answers are from a bad version, as a logarithm.
    log_ratio: f64,
}

/// Writes this node's evidence on a roll-out, if it changed much.
pub(super) async fn share<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    store: &impl KeyValue,
    service: &ServiceName,
) -> Result<(), KeyValueError> {
    let Some((record, lease)) = news(shared, service) else {
        return Ok(());
    };
    let node = &shared.settings().node;
    let swap = Swap {
        key: format!("{EVIDENCE_PREFIX}{service}/{node}"),
        expected: Expected::Any,
        // A struct of a string and a finite number always has a JSON form.
        value: Some(serde_json::to_string(&record).unwrap_or_default()),
        lease,
    };
    store.swap(swap).await?;
    if let Some(roll_out) = shared.state().roll_outs.get_mut(service) {
        roll_out.evidence().told(record.log_ratio);
    }
    Ok(())
}

fn news<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    service: &ServiceName,
) -> Option<(EvidenceRecord, Option<LeaseId>)> {
    let mut state = shared.state();
    let lease = state.lease;
    let roll_out = state.roll_outs.get_mut(service)?;
    if roll_out.stage().is_final() {
        return None;
    }
    let log_ratio = roll_out.evidence().news()?;
    let target = roll_out.order().target.as_str().to_owned();
    Some((EvidenceRecord { target, log_ratio }, lease))
}

/// Takes in the evidence of another node.
pub(crate) fn learn_evidence(state: &mut State, own: &str, service_and_node: &str, entry: &Entry) {
    let record: EvidenceRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1259", key = entry.key, %error, "evidence of a node cannot be read");
            return;
        }
    };
    let Some((service, node)) = service_and_node.split_once('/') else {
        return;
    };
    if node == own {
        return;
    }
    if let Some(roll_out) = state.roll_outs.get_mut(&ServiceName::from(service))
        && roll_out.order().target.as_str() == record.target
    {
        roll_out.evidence().learn(node, record.log_ratio);
    }
}
