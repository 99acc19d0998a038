//! The bills of one shard.

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use super::{BillTotals, Decision};
use crate::bill::Bill;
use crate::call::LedgerReply;
use crate::record::Record;
use crate::settings::LedgerSettings;
use crate::snapshot::{RecordedBill, SnapshotContent};

/// The recent bills of one shard and the sums of all.
#[derive(Clone, Debug, Default)]
pub(super) struct Bills {
    recorded: HashMap<RequestId, RecordedBill>,
    forgotten_unix_ms: u64,
    totals: BillTotals,
    late_totals: BillTotals,
}

impl Bills {
    /// Records a bill that lies in the batch at `seq`.
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

    /// Decides how `bill` is recorded.
    pub(super) fn decide(&self, bill: Bill) -> Decision {
        if self.recorded.contains_key(&bill.request_id) {
            return Decision::Confirm(LedgerReply::Recorded);
        }
        let record = if bill.at_unix_ms <= self.forgotten_unix_ms {
            Record::BilledLate(bill)
        } else {
            Record::Billed(bill)
        };
        Decision::Write(record, LedgerReply::Recorded)
    }

    /// Decides how the bill of a request is found.
    pub(super) fn find(&self, request_id: RequestId) -> Decision {
        match self.recorded.get(&request_id) {
            Some(recorded) => Decision::ReadBill(*recorded),
            None => Decision::Confirm(LedgerReply::Bill(None)),
        }
    }

    /// Forgets the oldest bills beyond the number that is kept.
    pub(super) fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        let excess = self.recorded.len().saturating_sub(settings.max_bill_ids);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<RecordedBill> = self.recorded.values().copied().collect();
        oldest.sort_by_key(|recorded| (recorded.seq, recorded.request_id));
        for recorded in &oldest[..excess] {
            self.recorded.remove(&recorded.request_id);
            // A clock that is ahead must not make the bills of others late.
            let ended = recorded.at_unix_ms.min(now.unix_ms);
            self.forgotten_unix_ms = self.forgotten_unix_ms.max(ended);
        }
    }

    /// Returns the sums of the bills but the late ones.
    pub(super) fn totals(&self) -> &BillTotals {
        &self.totals
    }

    /// Returns the sums of the late bills.
    pub(super) fn late_totals(&self) -> &BillTotals {
        &self.late_totals
    }

    /// Adds the bills to a snapshot.
    pub(super) fn store(&self, content: &mut SnapshotContent) {
        content.bills = self.recorded.values().copied().collect();
        content.forgotten_unix_ms = self.forgotten_unix_ms;
        content.totals = self.totals.iter().cloned().collect();
        content.late_totals = self.late_totals.iter().cloned().collect();
    }

    /// Reads the bills of a snapshot.
    pub(super) fn restore(content: &mut SnapshotContent) -> Self {
        let bills = std::mem::take(&mut content.bills);
        let recorded = bills.into_iter().map(|bill| (bill.request_id, bill));
        Self {
            recorded: recorded.collect(),
            forgotten_unix_ms: content.forgotten_unix_ms,
            totals: std::mem::take(&mut content.totals).into(),
            late_totals: std::mem::take(&mut content.late_totals).into(),
        }
    }
}
