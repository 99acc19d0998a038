//! Counters and histograms of the gateway, with bounded labels.

use std::collections::HashSet;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now, OrganisationName};
use hemlockhitch_routing::fleet::{Endpoint, Fleet};
use hemlockhitch_routing::judge::{Seen, Work};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::state::Shared;

/// Organisations with labels of their own; the others share one, so that the page of
/// metrics stays within some hundred kilobytes.
const ORGANISATIONS_MOST: usize = 64;

/// How often ages and counts of endpoints are taken.
const INTERVAL: Duration = Duration::from_secs(2);

/// The organisations that have labels of their own.
#[derive(Clone, Debug, Default)]
pub struct OrganisationLabels {
    named: HashSet<OrganisationName>,
}

impl OrganisationLabels {
    fn label(&mut self, name: Option<&OrganisationName>) -> String {
        let Some(name) = name else {
            return "none".to_owned();
        };
        if self.named.len() < ORGANISATIONS_MOST {
            self.named.insert(name.clone());
        }
        let label = if self.named.contains(name) {
            name.as_str()
        } else {
            "other"
        };
        label.to_owned()
    }
}

/// Whose request it is, as labels say it.
#[derive(Clone, Debug)]
pub(crate) struct Labels {
    organisation: String,
    class: &'static str,
    arrived: Now,
}

impl Labels {
    pub(crate) fn new<D: Dialect, C: Clock>(
        shared: &Shared<D, C>,
        organisation: Option<&OrganisationName>,
        work: Work,
        arrived: Now,
    ) -> Self {
        let organisation = shared.state().organisation_labels.label(organisation);
        Self {
            organisation,
            class: class(work),
            arrived,
        }
    }

    /// Counts an answer, and the time to its first event or to its end.
    pub(crate) fn answered(self, status: u16, now: Now) {
        let took_ms = now.mono_ms.saturating_sub(self.arrived.mono_ms);
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
        .record(float(took_ms));
    }
}

/// Counts a request that is refused at its arrival.
pub(crate) fn refused(reason: &'static str) {
    metrics::counter!("gateway_refused", "reason" => reason).increment(1);
}

/// Counts a request that ends without an answer of an endpoint.
pub(crate) fn given_up(reason: &'static str) {
    metrics::counter!("gateway_given_up", "reason" => reason).increment(1);
}

/// Counts a connection to an endpoint.
pub(crate) fn connection_opened() {
    metrics::counter!("gateway_connections_opened").increment(1);
}

/// Counts a try and the time that its request has left.
pub(crate) fn sending(work: Work, left_ms: u64) {
    metrics::counter!("gateway_tries").increment(1);
    metrics::histogram!("gateway_left_at_sending_ms", "class" => class(work))
        .record(float(left_ms));
}

/// Counts a try without a good answer.
pub(crate) fn failed_try(seen: Seen) {
    metrics::counter!("gateway_failed_tries", "seen" => format!("{seen:?}")).increment(1);
}

/// Counts a request that a larger model is asked for.
pub(crate) fn larger_model() {
    metrics::counter!("gateway_larger_models").increment(1);
}

/// Counts a stream that another endpoint goes on with.
pub(crate) fn resumed() {
    metrics::counter!("gateway_resumes").increment(1);
}

/// Returns the histogram of the pauses between the events of a stream.
pub(crate) fn between_events() -> metrics::Histogram {
    metrics::histogram!("gateway_between_events_ms")
}

/// Tells the age of the configuration and the endpoints by state until the task is
/// ended.
pub async fn report<D: Dialect, C: Clock>(shared: Shared<D, C>) {
    loop {
        report_once(&shared, shared.now());
        sleep(INTERVAL).await;
    }
}

fn report_once<D: Dialect, C: Clock>(shared: &Shared<D, C>, now: Now) {
    let state = shared.state();
    let fleet = &state.fleet;
    let states = [
        ("listed", fleet.len()),
        ("draining", count(fleet, |known| known.entry.draining)),
        ("cold", count(fleet, |known| known.is_cold(now))),
        (
            "left_alone",
            count(fleet, |known| known.health.is_paused(now)),
        ),
    ];
    let age_ms = state.freshness.age_ms(now);
    drop(state);
    if let Some(age_ms) = age_ms {
        metrics::gauge!("gateway_configuration_age_ms").set(float(age_ms));
    }
    for (name, count) in states {
        metrics::gauge!("gateway_endpoints", "state" => name).set(float(count as u64));
    }
}

fn count(fleet: &Fleet, holds: impl Fn(&Endpoint) -> bool) -> usize {
    fleet.all().filter(|endpoint| holds(endpoint)).count()
}

fn class(work: Work) -> &'static str {
    match work {
        Work::Repeatable => "repeatable",
        Work::Once => "once",
        Work::Stream { resumable: true } => "stream",
        Work::Stream { resumable: false } => "stream_once",
    }
}

/// Returns a count as metrics take it.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn float(count: u64) -> f64 {
    count as f64
}
