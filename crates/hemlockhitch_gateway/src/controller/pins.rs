//! Tells the other nodes which sessions are under way when a roll-out begins.
//!
//! The requests of a session reach different nodes, and a session must not change
//! its version while the roll-out is on trial.

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, Swap};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::state::{Shared, State};

/// Where nodes tell of their sessions, by service and node.
pub(crate) const PINS_PREFIX: &str = "hemlockhitch/pins/";

/// The sessions of one node that keep their version.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct PinsRecord {
    target: String,
    sessions: Vec<u64>,
}

/// Writes the sessions of this node for each roll-out that has just been ordered.
pub(super) async fn share<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    let due = std::mem::take(&mut shared.state().pins_due);
    for service in due {
        let Some((record, lease)) = pins(shared, &service) else {
            continue;
        };
        let node = &shared.settings().node;
        let swap = Swap {
            key: format!("{PINS_PREFIX}{service}/{node}"),
            expected: Expected::Any,
            // A struct of a string and numbers always has a JSON form.
            value: Some(serde_json::to_string(&record).unwrap_or_default()),
            lease,
        };
        store.swap(swap).await?;
    }
    Ok(())
}

/// Pins this node's recent sessions that would be on trial, and returns them.
fn pins<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    service: &ServiceName,
) -> Option<(PinsRecord, Option<hemlockhitch_ports::key_value::LeaseId>)> {
    let now = shared.now();
    let mut state = shared.state();
    let state = &mut *state;
    let roll_out = state.roll_outs.get_mut(service)?;
    let recent = state.sessions.recent(now);
    let sessions: Vec<u64> = recent
        .filter(|session| roll_out.is_on_trial(*session))
        .collect();
    if sessions.is_empty() {
        return None;
    }
    roll_out.pin(sessions.iter().copied());
    let target = roll_out.order().target.as_str().to_owned();
    Some((PinsRecord { target, sessions }, state.lease))
}

/// Takes in the sessions of another node.
pub(crate) fn learn_pins(state: &mut State, service_and_node: &str, entry: &Entry) {
    let record: PinsRecord = match serde_json::from_str(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::warn!(event = "HH1257", key = entry.key, %error, "sessions of a node cannot be read");
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
