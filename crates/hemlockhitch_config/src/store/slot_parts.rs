//! Parts of changes that are too large for their slot.

use hemlockhitch_ports::key_value::{Expected, KeyValue};

use super::blob::{self, PartVersion};
use super::error::ConfigStoreError;
use super::record::{CHANGE_PART_PREFIX, StoredBody};

/// Parts that existed for a slot before a writer attempts to overwrite the slot.
///
/// They are obsolete once the write succeeds: they belong to the overwritten change, or
/// to a concurrent writer that expected the previous version of the slot and whose
/// compare-and-swap therefore fails.
#[derive(Debug)]
pub(super) struct SlotParts {
    pub(super) prefix: String,
    superseded: Vec<PartVersion>,
}

impl SlotParts {
    /// Lists the parts of a slot. A slot that was never written is not listed.
    pub(super) async fn list<K: KeyValue>(
        kv: &K,
        slot: u64,
        next_slot: Expected,
    ) -> Result<Self, ConfigStoreError> {
        let prefix = format!("{CHANGE_PART_PREFIX}{slot:06}/");
        let superseded = match next_slot {
            Expected::Absent => Vec::new(),
            Expected::Version(_) | Expected::Any => blob::list_parts(kv, &prefix).await?,
        };
        Ok(Self { prefix, superseded })
    }

    /// Removes the listed parts. If this fails, the next writer of the slot removes the
    /// rest.
    pub(super) async fn remove_superseded<K: KeyValue>(self, kv: &K) {
        log_failure(blob::remove_parts(kv, self.superseded).await);
    }

    /// Removes the parts of a change whose compare-and-swap failed.
    pub(super) async fn remove_own<K: KeyValue>(&self, kv: &K, body: &StoredBody) {
        let StoredBody::Parts(own) = body else {
            return;
        };
        let removal = async {
            let parts = blob::list_parts(kv, &self.prefix).await?;
            let own = parts.into_iter().filter(|part| own.owns(&part.key));
            blob::remove_parts(kv, own).await
        };
        log_failure(removal.await);
    }
}

fn log_failure(result: Result<(), ConfigStoreError>) {
    if let Err(error) = result {
        tracing::warn!(
            event = "HH0406",
            %error,
            "failed to remove the parts of a superseded change"
        );
    }
}
