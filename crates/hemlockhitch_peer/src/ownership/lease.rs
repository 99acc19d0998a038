//! The one lease of a node in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{KeyValue, KeyValueErrorKind, LeaseId};
use tokio::time::{sleep, timeout};

use super::HeldLease;
use crate::shared::Shared;

/// How soon a failed renewal is tried again, in milliseconds.
const RETRY_MS: u64 = 500;

/// Grants the lease and renews it for as long as the node runs.
pub(crate) async fn keep_lease<K: KeyValue, C: Clock>(shared: Arc<Shared>, store: K, clock: C) {
    loop {
        let done = refresh(&shared, &store, &clock).await;
        let pause_ms = if done {
            shared.settings.lease_renew_ms
        } else {
            RETRY_MS
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn refresh<K: KeyValue, C: Clock>(shared: &Shared, store: &K, clock: &C) -> bool {
    let lease = shared.ownership.lock().lease;
    // The lease runs from before the call was sent, whenever its answer comes.
    let asked = clock.now();
    match lease {
        Some(lease) => renew(shared, store, lease.id, asked).await,
        None => grant(shared, store, asked).await,
    }
}

async fn renew<K: KeyValue>(shared: &Shared, store: &K, id: LeaseId, asked: Now) -> bool {
    match timeout(call_bound(shared), store.lease_renew(id)).await {
        Ok(Ok(())) => {
            extend(shared, id, asked);
            true
        }
        Ok(Err(error)) if error.kind() == KeyValueErrorKind::LeaseLapsed => {
            lose_everything(shared);
            false
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

async fn grant<K: KeyValue>(shared: &Shared, store: &K, asked: Now) -> bool {
    let ttl_ms = shared.settings.lease_ttl_ms;
    match timeout(call_bound(shared), store.lease_grant(ttl_ms)).await {
        Ok(Ok(id)) => {
            extend(shared, id, asked);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

fn extend(shared: &Shared, id: LeaseId, asked: Now) {
    let settings = &shared.settings;
    let valid_ms = settings.lease_ttl_ms - settings.lease_margin_ms;
    let lease = HeldLease {
        id,
        valid_until_ms: asked.mono_ms + valid_ms,
    };
    shared.ownership.lock().lease = Some(lease);
}

fn lose_everything(shared: &Shared) {
    let mut state = shared.ownership.lock();
    state.lease = None;
    let lost = state.held.len();
    state.held.clear();
    tracing::warn!(
        event = "HH0604",
        buckets = lost,
        "lease lapsed, buckets lost"
    );
}

fn call_bound(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.store_timeout_ms)
}
