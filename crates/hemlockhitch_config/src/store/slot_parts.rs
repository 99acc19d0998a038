//! The parts of changes that are too large for their slot.

use hemlockhitch_ports::key_value::{Expected, KeyValue};

use super::blob::{self, PartVersion};
use super::error::ConfigStoreError;
use super::record::{CHANGE_PART_PREFIX, StoredBody};

/// The parts that stood below a slot before a writer tries to take the slot.
///
/// Once the writer has taken it, nobody needs them: they belong to the change
/// that was overwritten, or to a rival that expected the slot as it was before.
#[derive(Debug)]
pub(super) struct SlotParts {
    pub(super) prefix: String,
    former: Vec<PartVersion>,
}

impl SlotParts {
    /// Lists the parts below a slot; one that was never taken needs no listing.
    pub(super) async fn list<K: KeyValue>(
        kv: &K,
        slot: u64,
        next_slot: Expected,
    ) -> Result<Self, ConfigStoreError> {
        let prefix = format!("{CHANGE_PART_PREFIX}{slot:06}/");
        let former = match next_slot {
            Expected::Absent => Vec::new(),
            Expected::Version(_) | Expected::Any => blob::list_parts(kv, &prefix).await?,
        };
        Ok(Self { prefix, former })
    }

    /// Removes the parts that were listed; the slot's next writer removes
    /// whatever is left when this fails.
    pub(super) async fn remove_former<K: KeyValue>(self, kv: &K) {
        log_failure(blob::remove_parts(kv, self.former).await);
    }

    /// Removes the parts of a change that did not get the slot.
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
        tracing::warn!(event = "HH0406", %error, "parts of an old change not removed");
    }
}
