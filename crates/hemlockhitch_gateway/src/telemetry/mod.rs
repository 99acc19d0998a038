//! Counters, gauges and histograms of the gateway, with bounded labels.

mod shares;

pub(crate) use shares::count_share_refused;

use std::collections::HashSet;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now, OrganisationName};
use hemlockhitch_routing::fleet::{Endpoint, Fleet};
use hemlockhitch_routing::retry::{RouteKind, Seen};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Maximum number of organisations with a label of their own; the others share one, so
/// that the metrics page stays within a few hundred kilobytes.
const MAX_LABELLED_ORGANISATIONS: usize = 64;

/// How often the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(2);

/// The organisations that have a label of their own.
#[derive(Clone, Debug, Default)]
pub struct OrganisationLabels {
    labelled: HashSet<OrganisationName>,
}

impl OrganisationLabels {
    pub(crate) fn label(&mut self, name: Option<&OrganisationName>) -> String {
        let Some(name) = name else {
            return "none".to_owned();
        };
        if self.labelled.len() < MAX_LABELLED_ORGANISATIONS {
            self.labelled.insert(name.clone());
        }
        let label = if self.labelled.contains(name) {
            name.as_str()
        } else {
            "other"
        };
        label.to_owned()
    }
}

/// Metric labels of a request, with the time at which it was received.
#[derive(Clone, Debug)]
pub(crate) struct RequestLabels {
    organisation: String,
    class: &'static str,
    received_at: Now,
}

impl RequestLabels {
    pub(crate) fn new<D: Dialect, C: Clock>(
        node_context: &NodeContext<D, C>,
        organisation: Option<&OrganisationName>,
        kind: RouteKind,
        received_at: Now,
    ) -> Self {
        let organisation = node_context.state().organisation_labels.label(organisation);
        Self {
            organisation,
            class: class_label(kind),
            received_at,
        }
    }

    /// Counts a response, and records the time to its first event or to its end.
    pub(crate) fn record_response(self, status: u16, now: Now) {
        let took_ms = now.mono_ms.saturating_sub(self.received_at.mono_ms);
        metrics::counter!(
            "gateway_answers",
            "organisation" => self.organisation.clone(),
            "class" => self.class,
            "status" => status.to_string()
        )
        .increment(1);
        metrics::histogram!(
            "gateway_answer_ms",
            "organisation" => self.organisation,
            "class" => self.class
        )
        .record(to_f64(took_ms));
    }
}

/// Counts a request that admission control refused.
pub(crate) fn count_refused(reason: &'static str) {
    metrics::counter!("gateway_refused", "reason" => reason).increment(1);
}

/// Counts a request that ended without a response from an endpoint.
pub(crate) fn count_failed_request(reason: &'static str) {
    metrics::counter!("gateway_given_up", "reason" => reason).increment(1);
}

/// Counts a new connection to an endpoint.
pub(crate) fn count_connection_opened() {
    metrics::counter!("gateway_connections_opened").increment(1);
}

/// Counts an attempt and records the remaining time of its request.
pub(crate) fn record_attempt(kind: RouteKind, remaining_ms: u64) {
    metrics::counter!("gateway_tries").increment(1);
    metrics::histogram!("gateway_left_at_sending_ms", "class" => class_label(kind))
        .record(to_f64(remaining_ms));
}

/// Counts a failed attempt.
pub(crate) fn count_failed_attempt(seen: Seen) {
    metrics::counter!("gateway_failed_tries", "seen" => format!("{seen:?}")).increment(1);
}

/// Counts a request that is sent to a larger model.
pub(crate) fn count_escalation() {
    metrics::counter!("gateway_larger_models").increment(1);
}

/// Counts a request that is passed to another node.
pub(crate) fn count_pass() {
    metrics::counter!("gateway_passes").increment(1);
}

/// Counts a probe of an endpoint's work time.
pub(crate) fn count_work_time_probe() {
    metrics::counter!("gateway_work_time_probes").increment(1);
}

/// Counts a stream that another endpoint resumed.
pub(crate) fn count_resume() {
    metrics::counter!("gateway_resumes").increment(1);
}

/// Counts a failed call of another node's feed by whether a part of its reply arrived.
pub(crate) fn count_failed_feed_call(received_bytes: u64) {
    let received = if received_bytes > 0 {
        "part"
    } else {
        "nothing"
    };
    metrics::counter!("gateway_failed_feed_calls", "received" => received).increment(1);
}

/// Records how old the copy of the configuration was that a new version replaced, which
/// bounds the time since the version was stored.
pub(crate) fn record_configuration_delay(age_ms: u64) {
    metrics::histogram!("gateway_configuration_delay_ms").record(to_f64(age_ms));
}

/// Counts a peer whose connection was ended because it made no progress.
pub(crate) fn count_stalled(peer: &'static str) {
    metrics::counter!("gateway_stalled", "peer" => peer).increment(1);
}

/// Counts an answer that is relayed as it arrives, because the memory budget does not allow
/// to hold it.
pub(crate) fn count_relayed_answer() {
    metrics::counter!("gateway_relayed_answers").increment(1);
}

/// Returns the histogram of the time between two events of a stream.
pub(crate) fn inter_event_histogram() -> metrics::Histogram {
    metrics::histogram!("gateway_between_events_ms")
}

/// Updates the gauges of the configuration's age and of the endpoints by state until
/// the task is cancelled.
pub async fn report_gauges<D: Dialect, C: Clock>(node_context: NodeContext<D, C>) {
    loop {
        update_gauges(&node_context, node_context.now());
        sleep(GAUGE_INTERVAL).await;
    }
}

fn update_gauges<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, now: Now) {
    shares::report_shares(node_context, now);
    let state = node_context.state();
    let fleet = &state.fleet;
    let states = [
        ("listed", fleet.len()),
        (
            "draining",
            count_where(fleet, |endpoint| endpoint.entry.draining),
        ),
        ("cold", count_where(fleet, |endpoint| endpoint.is_cold(now))),
        (
            "left_alone",
            count_where(fleet, |endpoint| endpoint.circuit_breaker.is_open(now)),
        ),
    ];
    let age_ms = state.freshness.age_ms(now);
    let slowdowns = fleet
        .endpoints()
        .filter(|endpoint| endpoint.work_time().is_some());
    let slowdowns: Vec<f64> = slowdowns
        .map(|endpoint| endpoint.slowdown_ratio(now))
        .collect();
    drop(state);
    for (name, count) in count_by_work_time(&slowdowns) {
        metrics::gauge!("gateway_endpoints_by_work_time", "work_time" => name)
            .set(to_f64(count as u64));
    }
    if let Some(age_ms) = age_ms {
        metrics::gauge!("gateway_configuration_age_ms").set(to_f64(age_ms));
    }
    let held = node_context.memory().held();
    let kinds = [
        ("requests", held.requests),
        ("bodies", held.bodies),
        ("answers", held.answers),
        ("streams", held.streams),
    ];
    for (kind, bytes) in kinds {
        metrics::gauge!("gateway_held_bytes", "kind" => kind).set(to_f64(bytes));
    }
    for (name, count) in states {
        metrics::gauge!("gateway_endpoints", "state" => name).set(to_f64(count as u64));
    }
}

/// Counts the endpoints that state their work time by what is estimated: at most a quarter
/// longer than usual, at most twice as long, or longer.
fn count_by_work_time(slowdown_ratios: &[f64]) -> [(&'static str, usize); 3] {
    let count = |range: std::ops::Range<f64>| {
        let ratios = slowdown_ratios.iter();
        ratios.filter(|ratio| range.contains(ratio)).count()
    };
    [
        ("usual", count(f64::NEG_INFINITY..0.25)),
        ("longer", count(0.25..1.0)),
        ("twice_or_more", count(1.0..f64::INFINITY)),
    ]
}

fn count_where(fleet: &Fleet, predicate: impl Fn(&Endpoint) -> bool) -> usize {
    fleet
        .endpoints()
        .filter(|endpoint| predicate(endpoint))
        .count()
}

fn class_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "repeatable",
        RouteKind::NonIdempotent => "once",
        RouteKind::Streaming { resumable: true } => "stream",
        RouteKind::Streaming { resumable: false } => "stream_once",
    }
}

/// Converts a count to the type that metrics take.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}
