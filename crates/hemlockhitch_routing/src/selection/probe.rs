//! Decides whether an endpoint's work time is read again before a request is sent there.
//!
//! It is made for a load that many nodes share, so that each of them reads an endpoint less
//! often than its work time changes: a node of 58 then does not know which endpoint is slow
//! although the nodes together do. Where responses tell enough, nothing is probed.

use hemlockhitch_model::{Now, ServiceName};

use crate::fleet::{Endpoint, Fleet};

/// Time that a probe must save on average to be worth its price, in milliseconds: ten
/// times the round trip by which it delays the request.
const MIN_SAVED_MS: f64 = 30.0;

/// Error of the estimate below which another endpoint would seldom be chosen, in percent
/// of the usual work time.
const MIN_ERROR_PERCENT: f64 = 40.0;

/// Returns whether the endpoint that was chosen for a request is to be probed first.
///
/// `held_ms` is how long a request of the service is at its endpoint on average, and
/// `probes_per_s` the bound on this node's probes, which are recorded in
/// [`Fleet::probe_limiter`]. Endpoints that limit requests or ask for pauses are not probed.
#[must_use]
pub fn is_probe_worthwhile(
    fleet: &Fleet,
    service: &ServiceName,
    endpoint: &Endpoint,
    held_ms: Option<f64>,
    probes_per_s: f64,
    now: Now,
) -> bool {
    let Some(held_ms) = held_ms else {
        return false;
    };
    let peer_variance = variance_between_endpoints(fleet, service);
    let error_percent = endpoint.work_time().map_or_else(
        // Nothing is known about an endpoint that was not read yet.
        || peer_variance.sqrt(),
        |work_time| work_time.error_percent(peer_variance, now),
    );
    let is_limited = fleet.is_brittle(service, now)
        || fleet.named_rates.get(endpoint.instance_hash, now).is_some()
        || endpoint.is_paused_for_peers(now)
        || endpoint.is_cold(now);
    let is_suspect =
        endpoint.circuit_breaker.is_open(now) || endpoint.circuit_breaker.is_recovering();
    error_percent >= MIN_ERROR_PERCENT
        && error_percent / 100.0 * held_ms >= MIN_SAVED_MS
        && !is_limited
        && !is_suspect
        && fleet.eligible(service).nth(1).is_some()
        && fleet.probe_limiter.allows(probes_per_s, now)
}

/// Returns the variance of the latest readings of a service's endpoints, in percent squared.
/// They are read at different times, so that they show how the work time varies before any
/// endpoint has been read often; 0 if no endpoint states it.
fn variance_between_endpoints(fleet: &Fleet, service: &ServiceName) -> f64 {
    let endpoints = fleet.eligible(service);
    let readings = endpoints.filter_map(|(_, endpoint)| endpoint.work_time());
    let (mut count, mut sum, mut sum_of_squares) = (0.0, 0.0, 0.0);
    for reading in readings {
        count += 1.0;
        sum += reading.latest_percent();
        sum_of_squares += reading.latest_percent().powi(2);
    }
    if count < 2.0 {
        return 0.0;
    }
    let mean: f64 = sum / count;
    (sum_of_squares / count - mean.powi(2)).max(0.0)
}
