//! Shares the crash counts of requests with the other nodes.

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, Swap};

use super::record::CRASH_COUNT_PREFIX;
use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Publishes the crash counts that have changed.
pub(super) async fn publish<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) -> Result<(), KeyValueError> {
    let crash_counts = std::mem::take(&mut node_context.state().unpublished_crash_counts);
    for (fingerprint, crashes) in crash_counts {
        let lease = node_context.state().lease;
        let swap = Swap {
            key: format!("{CRASH_COUNT_PREFIX}{fingerprint:016x}"),
            expected: Expected::Any,
            value: Some(crashes.to_string()),
            lease,
        };
        store.swap(swap).await?;
        tracing::warn!(
            event = "HH1254",
            fingerprint,
            crashes,
            "request suspected of crashing endpoints"
        );
    }
    Ok(())
}
