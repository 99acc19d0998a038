//! Keepalive of the lease that a node holds in the key-value service. All
//! bucket keys of the node are attached to it.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{KeyValue, KeyValueErrorKind, LeaseId};
use tokio::time::{sleep, timeout};

use super::HeldLease;
use crate::shared::Shared;

/// Delay before a failed grant or renewal is retried, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 500;

/// Obtains a lease and renews it for as long as the node runs. An expired lease
/// is replaced by a new one.
pub(crate) async fn keep_lease_alive<K: KeyValue, C: Clock>(
    shared: Arc<Shared>,
    store: K,
    clock: C,
) {
    loop {
        let refreshed = refresh(&shared, &store, &clock).await;
        let pause_ms = if refreshed {
            shared.settings.lease_renew_ms
        } else {
            RETRY_INTERVAL_MS
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Renews the lease, or requests one if there is none; returns whether that
/// succeeded.
async fn refresh<K: KeyValue, C: Clock>(shared: &Shared, store: &K, clock: &C) -> bool {
    let lease = shared.ownership.lock().lease;
    // The TTL is counted from before the request is sent, so that a late reply
    // never makes the lease look valid for longer than the store keeps it.
    let sent_at = clock.now();
    match lease {
        Some(lease) => renew(shared, store, lease.id, sent_at).await,
        None => grant(shared, store, sent_at).await,
    }
}

async fn renew<K: KeyValue>(shared: &Shared, store: &K, id: LeaseId, sent_at: Now) -> bool {
    match timeout(store_timeout(shared), store.lease_renew(id)).await {
        Ok(Ok(())) => {
            record_lease(shared, id, sent_at);
            true
        }
        Ok(Err(error)) if error.kind() == KeyValueErrorKind::LeaseLapsed => {
            drop_lease(shared);
            false
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn grant<K: KeyValue>(shared: &Shared, store: &K, sent_at: Now) -> bool {
    let ttl_ms = shared.settings.lease_ttl_ms;
    match timeout(store_timeout(shared), store.lease_grant(ttl_ms)).await {
        Ok(Ok(id)) => {
            record_lease(shared, id, sent_at);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Stores the lease; the node stops relying on it `lease_margin_ms` before its
/// TTL ends.
fn record_lease(shared: &Shared, id: LeaseId, sent_at: Now) {
    let settings = &shared.settings;
    let valid_ms = settings.lease_ttl_ms - settings.lease_margin_ms;
    let lease = HeldLease {
        id,
        valid_until_mono_ms: sent_at.mono_ms + valid_ms,
    };
    shared.ownership.lock().lease = Some(lease);
}

/// Clears the lease and all buckets: their keys expired with it.
fn drop_lease(shared: &Shared) {
    let mut state = shared.ownership.lock();
    state.lease = None;
    let lost_buckets = state.held.len();
    state.held.clear();
    tracing::warn!(
        event = "HH0604",
        buckets = lost_buckets,
        "lease expired, dropped all owned buckets"
    );
}

fn store_timeout(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.store_timeout_ms)
}
