//! Gateway settings, derived from the node's settings file.

use std::time::Duration;

use hemlockhitch_config::settings::{GatewayFile, NODE_MEMORY_MB};
use hemlockhitch_gateway::GatewaySettings;
use hemlockhitch_routing::limits::RetryBudgetSettings;

/// Margin before the time limits for accepting a revoked API key and for applying a
/// change, in milliseconds: for the latency to an endpoint and a task that is woken up late.
const AGE_MARGIN_MS: u64 = 150;

/// Part of the memory beyond the node's own that requests and answers may hold. The rest is
/// for what their bytes need besides: tasks, buffers of connections, and what the allocator
/// keeps.
const HELD_PERCENT: u64 = 37;

/// How long a watch of the store waits, in milliseconds. A response confirms that the
/// configuration was current when the watch began. It may thus be two waits old when
/// the store fails, and API keys must be accepted for three seconds from then.
const WATCH_MS: u64 = 300;

/// How long a feed call to a peer waits, in milliseconds. Two of these waits add to the
/// age that the configuration has from the peer's own watches.
const PEER_WATCH_MS: u64 = 500;

/// How long an endpoint that was deleted during an outage of the store is kept after
/// the store's return, in milliseconds: the platform states that endpoints register
/// again within two seconds.
const DELETION_GRACE_MS: u64 = 2_200;

/// How long a node waits at the first start of the fleet before it lists the other
/// nodes, in milliseconds: the nodes start and register within half a second of each
/// other, and the list may be a second old.
const REGISTRATION_WAIT_MS: u64 = 2_000;

pub(super) fn gateway_settings(file: &GatewayFile) -> GatewaySettings {
    let bounds = &file.bounds;
    let retry_budget = RetryBudgetSettings {
        retries_per_request: bounds.repeat_ratio,
        shared_retries: bounds.repeat_allowance,
        window_ms: millis(bounds.repeat_window_s),
    };
    GatewaySettings::new(file.node.name.clone(), file.node.data_centre.clone())
        .source_address(file.source_address)
        .peer_capacity(peer_capacity(bounds.link_mbps, bounds.cores))
        .max_configuration_age_ms(bounds.revoke_ms.saturating_sub(AGE_MARGIN_MS))
        .max_denial_age_ms(bounds.apply_ms.saturating_sub(AGE_MARGIN_MS))
        .watch_ms(WATCH_MS)
        .peer_watch_ms(PEER_WATCH_MS)
        .retry_budget(retry_budget)
        .cold_factor(bounds.cold_factor)
        .cold_allowance(bounds.cold_allowance)
        .exposure_share(bounds.exposure_share)
        .max_endpoint_pause_ms(millis(bounds.max_pause_s))
        .probes_per_s(bounds.probes_per_s)
        .prompt_cache_ttl_ms(millis(bounds.part_kept_s))
        .session_ttl_ms(millis(bounds.session_s))
        .deletion_grace_ms(DELETION_GRACE_MS)
        .registration_wait_ms(if file.first_start {
            REGISTRATION_WAIT_MS
        } else {
            0
        })
        .memory_limit_bytes(bounds.memory_mb.map(memory_limit_bytes))
        .shares(bounds.shares || hemlockhitch_adapter::calls_for_shares(&file.contracts))
        .model_price(bounds.model_price)
        .max_in_flight(usize::try_from(bounds.in_flight).unwrap_or(usize::MAX))
}

/// Returns how long the gateway may take to stop.
pub(super) fn grace_period(file: &GatewayFile) -> Duration {
    Duration::from_millis(millis(file.bounds.grace_s))
}

/// Returns how many bytes a node may hold for requests and answers on a VM of this size.
fn memory_limit_bytes(memory_mb: u64) -> u64 {
    (memory_mb.saturating_sub(NODE_MEMORY_MB) << 20) * HELD_PERCENT / 100
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn peer_capacity(link_mbps: f64, cores: f64) -> u32 {
    link_mbps.min(cores * 1_000.0) as u32
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
