//! Takes one stored key into the node's state.

use hemlockhitch_model::{Clock, Now, ServiceName};
use hemlockhitch_ports::key_value::Entry;
use hemlockhitch_routing::roll_out::{Order, RollOut, Stage};

use crate::controller;
use crate::dialect::{Change, Dialect, Subject};
use crate::membership;
use crate::state::{Shared, State};

/// Takes in a stored key; `is_live` says that the node saw it being written.
pub(super) fn write<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    entry: &Entry,
    is_live: bool,
    now: Now,
) {
    if let Some(node) = entry.key.strip_prefix(membership::PREFIX) {
        // A node whose record cannot be read counts, but is not followed.
        let record = serde_json::from_str(&entry.value).unwrap_or_default();
        shared.state().put_node(node, record);
        return;
    }
    if let Some(service) = entry.key.strip_prefix(controller::STAGE_PREFIX) {
        let service = ServiceName::from(service);
        controller::learn_stage(&mut shared.state(), &service, entry);
        return;
    }
    if let Some(fingerprint) = entry.key.strip_prefix(controller::SUSPECT_PREFIX) {
        controller::learn_suspect(&mut shared.state(), fingerprint, entry, now);
        return;
    }
    if let Some(service_and_node) = entry.key.strip_prefix(controller::PINS_PREFIX) {
        controller::learn_pins(&mut shared.state(), service_and_node, entry);
        return;
    }
    if let Some(service_and_node) = entry.key.strip_prefix(controller::EVIDENCE_PREFIX) {
        let own = shared.settings().node.as_str();
        controller::learn_evidence(&mut shared.state(), own, service_and_node, entry);
        return;
    }
    let subject = shared.dialect().subject(&entry.key);
    if subject == Subject::Other {
        return;
    }
    match shared.dialect().change(&subject, &entry.value) {
        Ok(change) => take(shared, subject, change, is_live, now),
        Err(error) => {
            tracing::warn!(event = "HH1204", key = entry.key, %error, "stored value ignored");
        }
    }
}

fn take<D: Dialect, C: Clock>(
    shared: &Shared<D, C>,
    subject: Subject,
    change: Change,
    is_live: bool,
    now: Now,
) {
    let mut state = shared.state();
    match (subject, change) {
        (Subject::Catalogue, Change::Catalogue(catalogue)) => state.put_catalogue(*catalogue),
        (Subject::Endpoint(_), Change::Endpoint(entry)) => {
            let name = entry.name.clone();
            let draining = entry.draining;
            let (key, replaced) = state.fleet.put(entry, now);
            drop(state);
            if let Some(replaced) = replaced {
                shared.connections().drop_endpoint(replaced);
            }
            tracing::debug!(event = "HH1205", %name, ?key, draining, "endpoint known");
        }
        (Subject::RollOut(service), Change::RollOut(order)) => {
            if put_order(&mut state, &service, order, now) && is_live {
                state.pins_due.push(service);
            }
        }
        (Subject::RollOutStatus(service), Change::RollOutStatus(target, stage)) => {
            if let Some(roll_out) = state.roll_outs.get_mut(&service)
                && roll_out.order().target.as_str() == target
                && stage.is_final()
            {
                roll_out.advance(stage);
            }
            state.told.insert(service, (target, stage));
        }
        (Subject::Evacuation(data_centre), Change::Evacuation) => {
            tracing::info!(event = "HH1206", %data_centre, "data centre is evacuated");
            state.fleet.set_evacuated(data_centre, true);
        }
        (subject, _) => {
            tracing::error!(
                event = "HH1207",
                ?subject,
                "stored value is about something else"
            );
        }
    }
}

/// Follows an order; returns whether it is a new one.
fn put_order(state: &mut State, service: &ServiceName, order: Order, now: Now) -> bool {
    if let Some(known) = state.roll_outs.get(service)
        && *known.order() == order
    {
        return false;
    }
    tracing::info!(event = "HH1208", %service, target = %order.target, "roll-out ordered");
    let usual = state.usual.get(service).cloned().unwrap_or_default();
    let mut roll_out = RollOut::new(order, now).seen_before(usual);
    if let Some((target, stage)) = state.told.get(service)
        && *target == roll_out.order().target.as_str()
        && stage.is_final()
    {
        roll_out.advance(*stage);
    }
    state.roll_outs.insert(service.clone(), roll_out);
    state.take_up_stage(service);
    true
}

pub(super) fn delete<D: Dialect, C: Clock>(shared: &Shared<D, C>, key: &str, now: Now) {
    if let Some(node) = key.strip_prefix(membership::PREFIX) {
        shared.state().remove_node(node);
        return;
    }
    match shared.dialect().subject(key) {
        Subject::Endpoint(name) => {
            let removed = shared.state().fleet.remove(&name);
            if let Some(endpoint) = removed {
                shared.connections().drop_endpoint(endpoint);
            }
            tracing::debug!(event = "HH1209", %name, mono_ms = now.mono_ms, "endpoint gone");
        }
        Subject::Evacuation(data_centre) => {
            tracing::info!(event = "HH1213", %data_centre, "data centre takes work again");
            shared.state().fleet.set_evacuated(data_centre, false);
        }
        Subject::RollOut(service) => {
            let mut state = shared.state();
            // A finished roll-out is kept: its old endpoints may still be listed.
            let finished = state.roll_outs.get(&service).map(RollOut::stage);
            if finished.is_some_and(|stage| stage != Stage::RolledBack && !stage.is_final()) {
                state.roll_outs.remove(&service);
            }
        }
        Subject::Catalogue | Subject::RollOutStatus(_) | Subject::Other => {}
    }
}

/// Returns whether the key belongs to something that renews its place itself.
pub(super) fn may_come_back<D: Dialect, C: Clock>(shared: &Shared<D, C>, key: &str) -> bool {
    matches!(shared.dialect().subject(key), Subject::Endpoint(_))
}
