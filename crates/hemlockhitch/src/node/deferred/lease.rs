//! Lease to which the node's claims of deferred jobs are attached.

use std::time::Duration;

use hemlockhitch_ports::key_value::{KeyValue, KeyValueErrorKind, LeaseId};
use tokio::sync::watch;
use tokio::time::sleep;

/// Number of renewals within the lifetime of a lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Acquires a lease of `ttl_ms` milliseconds, renews it, and publishes its id in `lease`.
///
/// The value is `None` while the node holds no lease.
pub(super) async fn keep_alive(
    store: impl KeyValue,
    ttl_ms: u64,
    lease: watch::Sender<Option<LeaseId>>,
) {
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
                tracing::warn!(event = "HH1001", %error, "failed to acquire or renew the lease for deferred jobs");
                if error.kind() == KeyValueErrorKind::LeaseLapsed {
                    lease.send_replace(None);
                    continue;
                }
            }
        }
        sleep(Duration::from_millis(ttl_ms / RENEWALS_PER_LEASE)).await;
    }
}
