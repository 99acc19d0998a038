//! The sums of all bills, read from the store.

use hemlockhitch_ports::key_value::KeyValue;
use serde::{Deserialize, Serialize};

use crate::LedgerError;
use crate::log::ShardLog;
use crate::shard::ShardId;
use crate::state::{BillTotal, BillTotals};

/// What was billed since the ledger was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BillSums {
    /// The sums of the bills, in order of organisation.
    pub totals: Vec<BillTotal>,
    /// The sums of the bills that came too late to tell whether they repeat one
    /// that is in `totals`.
    pub late_totals: Vec<BillTotal>,
}

/// Reads the sums over all shards from the store.
///
/// This reads every log whole, so it is meant for reports and not for requests.
///
/// # Errors
///
/// Fails when the store does not answer or a record cannot be read.
pub async fn read_sums<K: KeyValue>(kv: &K, shard_count: u16) -> Result<BillSums, LedgerError> {
    let mut totals = BillTotals::default();
    let mut late_totals = BillTotals::default();
    for index in 0..shard_count {
        let opened = ShardLog::open(kv.clone(), ShardId(index), shard_count).await?;
        totals.merge(opened.state.totals());
        late_totals.merge(opened.state.late_totals());
    }
    Ok(BillSums {
        totals: totals.iter().cloned().collect(),
        late_totals: late_totals.iter().cloned().collect(),
    })
}
