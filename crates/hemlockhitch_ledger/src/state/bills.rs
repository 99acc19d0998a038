//! Bill totals of one shard and the recent bills kept for deduplication.

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use super::{BillTotals, Decision};
use crate::bill::Bill;
use crate::call::LedgerReply;
use crate::record::Record;
use crate::settings::LedgerSettings;
use crate::snapshot::{RecordedBill, SnapshotContent};

/// Recent bills of one shard by request id, and the totals of all its bills.
#[derive(Clone, Debug, Default)]
pub(super) struct Bills {
    recorded: HashMap<RequestId, RecordedBill>,
    /// Latest end time of an evicted bill. A bill that ended no later may be a
    /// duplicate of an evicted one.
    evicted_until_unix_ms: u64,
    totals: BillTotals,
    /// Totals of the bills that ended too early to be checked for duplicates.
    late_totals: BillTotals,
}

impl Bills {
    /// Applies a bill from the batch at `seq`.
    pub(super) fn record(&mut self, bill: &Bill, seq: u64, is_late: bool) {
        let recorded = RecordedBill {
            request_id: bill.request_id,
            seq,
            at_unix_ms: bill.at_unix_ms,
        };
        if self.recorded.insert(bill.request_id, recorded).is_some() {
            return;
        }
        if is_late {
            self.late_totals.add(bill);
        } else {
            self.totals.add(bill);
        }
    }

    /// Decides whether to record `bill`, as on time or late, or to skip it as a
    /// duplicate.
    pub(super) fn decide_bill(&self, bill: Bill) -> Decision {
        if self.recorded.contains_key(&bill.request_id) {
            return Decision::Reply(LedgerReply::Recorded);
        }
        let record = if bill.at_unix_ms <= self.evicted_until_unix_ms {
            Record::BilledLate(bill)
        } else {
            Record::Billed(bill)
        };
        Decision::Write(record, LedgerReply::Recorded)
    }

    /// Decides how to look up the bill of a request.
    pub(super) fn decide_find(&self, request_id: RequestId) -> Decision {
        match self.recorded.get(&request_id) {
            Some(recorded) => Decision::ReadBill(*recorded),
            None => Decision::Reply(LedgerReply::Bill(None)),
        }
    }

    /// Evicts the oldest bills above the configured limit.
    pub(super) fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        let excess = self.recorded.len().saturating_sub(settings.max_bill_ids);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<RecordedBill> = self.recorded.values().copied().collect();
        oldest.sort_by_key(|recorded| (recorded.seq, recorded.request_id));
        for recorded in &oldest[..excess] {
            self.recorded.remove(&recorded.request_id);
            // Clamped so that a bill with a time in the future does not make
            // on-time bills of other nodes count as late.
            let ended_unix_ms = recorded.at_unix_ms.min(now.unix_ms);
            self.evicted_until_unix_ms = self.evicted_until_unix_ms.max(ended_unix_ms);
        }
    }

    /// Returns the totals of all bills except late ones.
    pub(super) fn totals(&self) -> &BillTotals {
        &self.totals
    }

    /// Returns the totals of the late bills.
    pub(super) fn late_totals(&self) -> &BillTotals {
        &self.late_totals
    }

    /// Writes the bills to a snapshot.
    pub(super) fn write_to(&self, content: &mut SnapshotContent) {
        content.bills = self.recorded.values().copied().collect();
        content.forgotten_unix_ms = self.evicted_until_unix_ms;
        content.totals = self.totals.iter().cloned().collect();
        content.late_totals = self.late_totals.iter().cloned().collect();
    }

    /// Restores the bills from a snapshot.
    pub(super) fn restore(content: &mut SnapshotContent) -> Self {
        let bills = std::mem::take(&mut content.bills);
        let recorded = bills.into_iter().map(|bill| (bill.request_id, bill));
        Self {
            recorded: recorded.collect(),
            evicted_until_unix_ms: content.forgotten_unix_ms,
            totals: std::mem::take(&mut content.totals).into(),
            late_totals: std::mem::take(&mut content.late_totals).into(),
        }
    }
}
