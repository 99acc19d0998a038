//! Settings of the gateway's packages, derived from those of the node.

use std::time::Duration;

use hemlockhitch_config::settings::GatewayFile;
use hemlockhitch_gateway::GatewaySettings;
use hemlockhitch_routing::limits::RetryBudgetSettings;

/// Kept free before the bound on API keys that were taken away, in milliseconds: for
/// the way to an endpoint and a late wake-up.
const REVOCATION_MARGIN_MS: u64 = 150;

/// How long a watch of the store waits, in milliseconds: an answer proves that the
/// configuration was recent when the watch began, so knowledge may be two waits old
/// when the store fails, and keys are to work for three seconds from then.
const WATCH_MS: u64 = 400;

/// How long a call waits at a node that is followed, in milliseconds: two of them come
/// on top of the watches of that node.
const PEER_WATCH_MS: u64 = 500;

/// How long an endpoint that was deleted during an outage of the store may take to come
/// back, in milliseconds: the platform states two seconds.
const DELETION_GRACE_MS: u64 = 2_200;

pub(super) fn gateway(file: &GatewayFile) -> GatewaySettings {
    let bounds = &file.bounds;
    let retry_budget = RetryBudgetSettings {
        retries_per_request: bounds.repeat_ratio,
        shared_retries: bounds.repeat_allowance,
        window_ms: millis(bounds.repeat_window_s),
    };
    GatewaySettings::new(file.node.name.clone(), file.node.data_centre.clone())
        .peer_capacity(peer_capacity(bounds.link_mbps, bounds.cores))
        .max_configuration_age_ms(bounds.revoke_ms.saturating_sub(REVOCATION_MARGIN_MS))
        .watch_ms(WATCH_MS)
        .peer_watch_ms(PEER_WATCH_MS)
        .retry_budget(retry_budget)
        .cold_factor(bounds.cold_factor)
        .cold_allowance(bounds.cold_allowance)
        .prompt_cache_ttl_ms(millis(bounds.part_kept_s))
        .session_ttl_ms(millis(bounds.session_s))
        .deletion_grace_ms(DELETION_GRACE_MS)
        .max_in_flight(usize::try_from(bounds.in_flight).unwrap_or(usize::MAX))
}

/// Returns how long the gateway may take to stop.
pub(super) fn grace(file: &GatewayFile) -> Duration {
    Duration::from_millis(millis(file.bounds.grace_s))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn peer_capacity(link_mbps: f64, cores: f64) -> u32 {
    link_mbps.min(cores * 1_000.0) as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
