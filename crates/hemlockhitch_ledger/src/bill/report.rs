//! Bill totals over all shards, read from the store.

use hemlockhitch_ports::key_value::KeyValue;
use serde::{Deserialize, Serialize};

use crate::LedgerError;
use crate::log::ShardLog;
use crate::shard::ShardId;
use crate::state::{BillTotal, BillTotals};

/// Bill totals since the ledger was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BillReport {
    /// The totals of all bills except late ones, ordered by organisation.
    pub totals: Vec<BillTotal>,
    /// The totals of bills that arrived too late to be checked for duplicates;
    /// some may be included in `totals` as well.
    pub late_totals: Vec<BillTotal>,
}

/// Reads the bill totals over all shards from the store.
///
/// This replays every shard's log, so use it for reports, not while serving
/// requests.
///
/// # Errors
///
/// Fails if the store is unavailable, a record cannot be decoded, or the ledger
/// was created with a different shard count.
pub async fn read_totals<K: KeyValue>(kv: &K, shard_count: u16) -> Result<BillReport, LedgerError> {
    let mut totals = BillTotals::default();
    let mut late_totals = BillTotals::default();
    for index in 0..shard_count {
        let opened = ShardLog::open(kv.clone(), ShardId(index), shard_count).await?;
        totals.merge(opened.state.totals());
        late_totals.merge(opened.state.late_totals());
    }
    Ok(BillReport {
        totals: totals.iter().cloned().collect(),
        late_totals: late_totals.iter().cloned().collect(),
    })
}
