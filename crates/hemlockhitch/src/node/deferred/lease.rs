//! The lease to which the node's claims of jobs are attached.

use std::time::Duration;

use hemlockhitch_ports::key_value::{KeyValue, KeyValueErrorKind, LeaseId};
use tokio::sync::watch;
use tokio::time::sleep;

/// Renewals in the time that a lease lasts.
const RENEWALS_PER_LEASE: u64 = 3;

/// Keeps a lease of `ttl_ms` milliseconds, and tells which one it is.
///
/// While the store has no lease for the node, it tells none.
pub(super) async fn keep(store: impl KeyValue, ttl_ms: u64, lease: watch::Sender<Option<LeaseId>>) {
    loop {
        let held = *lease.borrow();
        let renewed = match held {
            Some(held) => store.lease_renew(held).await.map(|()| held),
            None => store.lease_grant(ttl_ms).await,
        };
        match renewed {
            Ok(renewed) => {
                lease.send_replace(Some(renewed));
            }
            Err(error) => {
                tracing::warn!(event = "HH1001", %error, "lease of deferred work not renewed");
                if error.kind() == KeyValueErrorKind::LeaseLapsed {
                    lease.send_replace(None);
                    continue;
                }
            }
        }
        sleep(Duration::from_millis(ttl_ms / RENEWALS_PER_LEASE)).await;
    }
}
