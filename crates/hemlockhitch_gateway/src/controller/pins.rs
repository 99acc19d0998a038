//! Shares the active sessions with the other nodes when a roll-out starts.
//!
//! The requests of a session reach different nodes, and a session must not change its
//! version during the trial.

use hemlockhitch_model::{Clock, ServiceName};
use hemlockhitch_ports::key_value::{Entry, Expected, KeyValue, KeyValueError, LeaseId, Swap};
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

/// Sessions that this node pins for a roll-out.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnPins {
    sessions: Vec<u64>,
    /// Whether the list holds the sessions that became active until the trial began.
    is_complete: bool,
}

/// Publishes this node's sessions for each newly ordered roll-out, and once more when its
/// trial has begun: a session whose first request came in between has the old version.
pub(super) async fn publish<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    let mut due = due_services(node_context).into_iter();
    while let Some((service, must_write)) = due.next() {
        let Some((record, lease)) = update_own_pins(node_context, &service, must_write) else {
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
        if let Err(error) = store.swap(swap).await {
            let unpublished = std::iter::once(service).chain(due.map(|(service, _)| service));
            node_context.state().unpublished_pins.extend(unpublished);
            return Err(error);
        }
    }
    Ok(())
}

/// Returns the services whose pinned sessions may have to be published, with whether those
/// that are known already must be.
fn due_services<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
) -> Vec<(ServiceName, bool)> {
    let now = node_context.now();
    let mut state = node_context.state();
    if state.lease_is_void {
        return Vec::new();
    }
    let unpublished = std::mem::take(&mut state.unpublished_pins);
    let has_begun = |service: &ServiceName| {
        let roll_out = state.roll_outs.get(service);
        roll_out.is_some_and(|roll_out| roll_out.has_trial_begun(now))
    };
    let incomplete = state.own_pins.iter();
    let incomplete = incomplete.filter(|(service, pins)| !pins.is_complete && has_begun(service));
    let incomplete: Vec<_> = incomplete
        .map(|(service, _)| (service.clone(), false))
        .collect();
    let unpublished = unpublished.into_iter().map(|service| (service, true));
    unpublished.chain(incomplete).collect()
}

/// Pins this node's recent sessions that would be part of the trial, and returns all that it
/// pins if they are to be published.
fn update_own_pins<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    service: &ServiceName,
    must_write: bool,
) -> Option<(PinsRecord, Option<LeaseId>)> {
    let now = node_context.now();
    let mut state = node_context.state();
    let state = &mut *state;
    let roll_out = state.roll_outs.get_mut(service)?;
    let target = roll_out.order().target.clone();
    let pins = state.own_pins.entry(service.clone()).or_default();
    let published_count = pins.sessions.len();
    if !pins.is_complete {
        let affinity = &state.session_affinity;
        let has_old_version = |session: &u64| {
            affinity
                .version(*session, now)
                .is_some_and(|version| *version != target)
        };
        let recent = affinity.recent(now);
        let added = recent.filter(|session| {
            roll_out.is_canary_session(*session)
                && has_old_version(session)
                && !pins.sessions.contains(session)
        });
        let added: Vec<u64> = added.collect();
        pins.sessions.extend(added);
        pins.is_complete = roll_out.has_trial_begun(now);
    }
    roll_out.pin(pins.sessions.iter().copied());
    let has_more = pins.sessions.len() > published_count;
    let is_due = has_more || (must_write && !pins.sessions.is_empty());
    is_due.then(|| {
        let record = PinsRecord {
            target: target.as_str().to_owned(),
            sessions: pins.sessions.clone(),
        };
        (record, state.lease)
    })
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
