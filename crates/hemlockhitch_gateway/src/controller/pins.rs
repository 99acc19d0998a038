//! Shares the active sessions with the other nodes when a roll-out starts.
//!
//! The requests of a session reach different nodes, and a session must not change its
//! version during the trial.

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, Swap};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::{NodeContext, State};

/// Key prefix of the nodes' pinned sessions; the service and the node follow.
pub(crate) const PINS_PREFIX: &str = "hemlockhitch/pins/";

/// Sessions of one node that are pinned to their version.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct PinsRecord {
    target: String,
    sessions: Vec<u64>,
}

/// Publishes this node's sessions for each newly ordered roll-out.
pub(super) async fn publish<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    let services = {
        let mut state = node_context.state();
        if state.lease_is_void {
            return Ok(());
        }
        std::mem::take(&mut state.unpublished_pins)
    };
    for service in services {
        let Some((record, lease)) = pin_recent_sessions(node_context, &service) else {
            continue;
        };
        let node = &node_context.settings().node;
        let swap = Swap {
            key: format!("{PINS_PREFIX}{service}/{node}"),
            expected: Expected::Any,
            // Serialising a string and numbers cannot fail.
            value: Some(serde_json::to_string(&record).unwrap_or_default()),
            lease,
        };
        store.swap(swap).await?;
    }
    Ok(())
}

/// Pins this node's recent sessions that would be part of the trial, and returns them.
/// Sessions that were published before are published again.
fn pin_recent_sessions<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    service: &ServiceName,
) -> Option<(PinsRecord, Option<hemlockhitch_ports::key_value::LeaseId>)> {
    let now = node_context.now();
    let mut state = node_context.state();
    let state = &mut *state;
    let roll_out = state.roll_outs.get_mut(service)?;
    let recent = state.session_affinity.recent(now);
    let published = state.own_pins.get(service).cloned();
    let sessions: Vec<u64> = published.unwrap_or_else(|| {
        recent
            .filter(|session| roll_out.is_canary_session(*session))
            .collect()
    });
    if sessions.is_empty() {
        return None;
    }
    state.own_pins.insert(service.clone(), sessions.clone());
    roll_out.pin(sessions.iter().copied());
    let target = roll_out.order().target.as_str().to_owned();
    Some((PinsRecord { target, sessions }, state.lease))
}

/// Applies the pinned sessions of another node.
pub(crate) fn apply_pins(state: &mut State, service_and_node: &str, entry: &Entry) {
    let record: PinsRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1257", key = entry.key, %error, "invalid pinned sessions in the store");
            return;
        }
    };
    let service = service_and_node.split('/').next().unwrap_or_default();
    if let Some(roll_out) = state.roll_outs.get_mut(&ServiceName::from(service))
        && roll_out.order().target.as_str() == record.target
    {
        roll_out.pin(record.sessions);
    }
}
