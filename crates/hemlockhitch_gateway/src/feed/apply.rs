//! Applies a stored key to the node's state.

use hemlockhitch_model::{Clock, Now, ServiceName};
use hemlockhitch_ports::key_value::Entry;
use hemlockhitch_routing::roll_out::{RollOut, Stage};

use crate::controller;
use crate::dialect::{Dialect, StoredValue, Subject};
use crate::membership;
use crate::state::{NodeContext, State};

/// How a key came to be part of what is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Provenance {
    /// It was stored before the node started to follow the store.
    BeforeStart,
    /// It was written since.
    Live,
    /// The store returned from a copy that holds it.
    Restored,
}

/// What is known about when the keys of a batch were written.
#[derive(Clone, Copy, Debug)]
pub(super) struct Written {
    pub(super) provenance: Provenance,
    /// Longest time since then, in milliseconds; 0 if it is not known.
    pub(super) delay_ms: u64,
}

impl Written {
    /// The keys were stored before the node started to follow the store.
    pub(super) const BEFORE_START: Self = Self {
        provenance: Provenance::BeforeStart,
        delay_ms: 0,
    };
}

/// Applies a written key.
pub(super) fn write<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    entry: &Entry,
    written: Written,
    now: Now,
) {
    if let Some(node) = entry.key.strip_prefix(membership::NODE_PREFIX) {
        // A node whose record cannot be decoded is counted, but not followed.
        let record = serde_json::from_str(&entry.value).unwrap_or_default();
        node_context.state().add_node(node, record);
        return;
    }
    if let Some(service) = entry.key.strip_prefix(controller::STAGE_PREFIX) {
        let service = ServiceName::from(service);
        let epoch = node_context.mirror().position().epoch;
        controller::apply_stage(&mut node_context.state(), &service, entry, epoch);
        return;
    }
    if entry.key.starts_with(controller::CRASHES_PREFIX) {
        controller::apply_crashes(node_context, entry);
        return;
    }
    if let Some(service_and_node) = entry.key.strip_prefix(controller::PINS_PREFIX) {
        controller::apply_pins(&mut node_context.state(), service_and_node, entry);
        return;
    }
    if let Some(service_and_node) = entry.key.strip_prefix(controller::EVIDENCE_PREFIX) {
        let own = node_context.settings().node.as_str();
        controller::apply_evidence(&mut node_context.state(), own, service_and_node, entry);
        return;
    }
    let subject = node_context.dialect().parse_key(&entry.key);
    if subject == Subject::Other {
        return;
    }
    match node_context.dialect().parse_value(&subject, &entry.value) {
        Ok(value) => apply_value(node_context, subject, value, written, now),
        Err(error) => {
            tracing::warn!(event = "HH1204", key = entry.key, %error, "unreadable stored value ignored");
        }
    }
}

fn apply_value<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    subject: Subject,
    value: StoredValue,
    written: Written,
    now: Now,
) {
    let mut state = node_context.state();
    match (subject, value) {
        (Subject::Catalogue, StoredValue::Catalogue(catalogue)) => {
            state.set_catalogue(*catalogue, now);
        }
        (Subject::Endpoint(_), StoredValue::Endpoint(entry)) => {
            let name = entry.name.clone();
            let draining = entry.draining;
            let may_be_outdated = written.provenance != Provenance::Live;
            if may_be_outdated && state.fleet.is_outdated(&entry, now) {
                tracing::info!(event = "HH1217", %name, "restored registration of an endpoint that was gone ignored");
                return;
            }
            let (key, replaced) = state.fleet.upsert(entry, now);
            drop(state);
            if let Some(replaced) = replaced {
                node_context.connection_pool().close_endpoint(replaced);
            }
            tracing::debug!(event = "HH1205", %name, ?key, draining, "endpoint updated");
        }
        (Subject::RollOut(service), StoredValue::RollOut(order)) => {
            let exposure_share = node_context.settings().exposure_share;
            let roll_out = RollOut::new(order, now)
                .with_exposure_share(exposure_share)
                .with_order_delay_ms(written.delay_ms);
            if set_roll_out(&mut state, &service, roll_out)
                && written.provenance == Provenance::Live
            {
                state.unpublished_pins.push(service);
            }
        }
        (Subject::RollOutStatus(service), StoredValue::RollOutStatus(target, stage)) => {
            if let Some(roll_out) = state.roll_outs.get_mut(&service)
                && roll_out.order().target.as_str() == target
                && stage.is_final()
            {
                roll_out.advance(stage);
            }
            state.published_status.insert(service, (target, stage));
        }
        (Subject::Evacuation(data_centre), StoredValue::Evacuation) => {
            tracing::info!(event = "HH1206", %data_centre, "data centre evacuation started");
            state.fleet.set_evacuated(data_centre, true);
        }
        (subject, _) => {
            tracing::error!(
                event = "HH1207",
                ?subject,
                "stored value does not match its key"
            );
        }
    }
}

/// Starts a roll-out; returns whether its order is new.
fn set_roll_out(state: &mut State, service: &ServiceName, roll_out: RollOut) -> bool {
    if let Some(current) = state.roll_outs.get(service)
        && current.order() == roll_out.order()
    {
        return false;
    }
    let target = &roll_out.order().target;
    tracing::info!(event = "HH1208", %service, %target, "roll-out ordered");
    let baseline = state.baselines.get(service).cloned().unwrap_or_default();
    let mut roll_out = roll_out.with_baseline(baseline);
    if let Some((target, stage)) = state.published_status.get(service)
        && *target == roll_out.order().target.as_str()
        && stage.is_final()
    {
        roll_out.advance(*stage);
    }
    state.own_pins.remove(service);
    state.roll_outs.insert(service.clone(), roll_out);
    state.apply_stored_stage(service);
    true
}

pub(super) fn delete<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, key: &str, now: Now) {
    if let Some(node) = key.strip_prefix(membership::NODE_PREFIX) {
        node_context.state().remove_node(node);
        return;
    }
    if key.starts_with(controller::CRASHES_PREFIX) {
        controller::remove_crashes(node_context, key);
        return;
    }
    match node_context.dialect().parse_key(key) {
        Subject::Endpoint(name) => {
            let removed = node_context.state().fleet.remove(&name, now);
            if let Some(endpoint) = removed {
                node_context.connection_pool().close_endpoint(endpoint);
            }
            tracing::debug!(event = "HH1209", %name, mono_ms = now.mono_ms, "endpoint removed");
        }
        Subject::Evacuation(data_centre) => {
            tracing::info!(event = "HH1213", %data_centre, "data centre evacuation ended");
            node_context.state().fleet.set_evacuated(data_centre, false);
        }
        Subject::RollOut(service) => {
            let mut state = node_context.state();
            // A finished roll-out is kept: endpoints of its old versions may still be
            // listed.
            let stage = state.roll_outs.get(&service).map(RollOut::stage);
            if stage.is_some_and(|stage| stage != Stage::RolledBack && !stage.is_final()) {
                state.roll_outs.remove(&service);
            }
        }
        Subject::Catalogue | Subject::RollOutStatus(_) | Subject::Other => {}
    }
}

/// Returns whether a key that a restored copy of the store lacks may be written again by
/// its owner: an operator, an endpoint or a node.
pub(super) fn may_be_restored<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    key: &str,
) -> bool {
    if key.starts_with(membership::NODE_PREFIX) {
        return true;
    }
    matches!(
        node_context.dialect().parse_key(key),
        Subject::Endpoint(_) | Subject::Evacuation(_) | Subject::RollOut(_)
    )
}

/// Returns whether the key's owner may write it again without an operator.
pub(super) fn may_reappear<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    key: &str,
) -> bool {
    matches!(node_context.dialect().parse_key(key), Subject::Endpoint(_))
}
