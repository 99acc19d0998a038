//! Settings of the workspace crates, derived from the node settings.

use hemlockhitch_config::settings::Settings;
use hemlockhitch_endpoint::HttpEngine;
use hemlockhitch_http::callers::CallersLimits;
use hemlockhitch_ledger::LedgerSettings;
use hemlockhitch_ledger::deferred::QueueSettings;
use hemlockhitch_peer::PeerSettings;
use hemlockhitch_router::RouterSettings;

use super::deferred;

/// Maximum time that the end of an answer waits for its bill, in milliseconds.
const BILL_WAIT_MS: u64 = 500;

pub(super) fn engine(settings: &Settings) -> HttpEngine {
    HttpEngine::builder()
        .chunk_timeout_ms(settings.limits.chunk_ms)
        .first_chunk_timeout_ms(settings.limits.answer_ms)
        .build()
}

pub(super) fn ledger_settings(settings: &Settings) -> LedgerSettings {
    LedgerSettings::new(settings.node.name.clone())
        .shard_count(shard_count(settings))
        .claim_timeout_ms(2 * settings.limits.answer_ms)
}

/// Returns the settings of the deferred-job queue. The worker paces its polls by fleet
/// size; the poll interval only limits polls within one pass of the worker.
pub(super) fn queue_settings() -> QueueSettings {
    QueueSettings {
        poll_interval_ms: deferred::MIN_POLL_INTERVAL_MS,
        ..QueueSettings::default()
    }
}

pub(super) fn shard_count(settings: &Settings) -> u16 {
    u16::try_from(settings.control.shards).unwrap_or(u16::MAX)
}

pub(super) fn peer_settings(settings: &Settings) -> PeerSettings {
    let control = &settings.control;
    PeerSettings {
        exchange_interval_ms: control.heartbeat_ms,
        self_stop_ms: control.self_stop_ms,
        suspicion_ms: PeerSettings::default()
            .suspicion_ms
            .max(control.self_stop_ms),
        watchers: usize::try_from(control.watchers_per_data_centre).unwrap_or(usize::MAX),
        lease_ttl_ms: control.lease_ms,
        endpoint_buckets: u16::try_from(control.buckets).unwrap_or(u16::MAX),
        ledger_shards: shard_count(settings),
        ..PeerSettings::default()
    }
}

pub(super) fn router_settings(settings: &Settings) -> RouterSettings {
    RouterSettings::new()
        .max_in_flight(usize::try_from(settings.limits.in_flight).unwrap_or(usize::MAX))
        .queue_ms(settings.limits.queue_ms)
        .answer_ms(settings.limits.answer_ms)
        .bill_wait_ms(BILL_WAIT_MS)
}

pub(super) fn callers_limits(settings: &Settings) -> CallersLimits {
    CallersLimits {
        body_bytes: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
    }
}
