//! In-memory state of a shard, built by replaying its log.

mod bills;
mod claims;
mod totals;

pub use totals::{BillTotal, BillTotals};

use hemlockhitch_model::Now;

use crate::LedgerErrorKind;
use crate::call::{LedgerCall, LedgerReply};
use crate::record::{Batch, Record};
use crate::settings::LedgerSettings;
use crate::snapshot::{RecordedBill, SnapshotContent};

use bills::Bills;
use claims::Claims;

/// Claims, recent bills and bill totals of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    claims: Claims,
    bills: Bills,
    epoch: u64,
}

/// The effect of a call on a shard.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Append the record to the log, then send the reply.
    Write(Record, LedgerReply),
    /// Send the reply after verifying that the state is current.
    Reply(LedgerReply),
    /// Read the bill from the log and reply with it.
    ReadBill(RecordedBill),
}

impl ShardState {
    /// Returns the ownership epoch, which increases with each owner that writes to
    /// the shard.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the totals of all bills except late ones.
    #[must_use]
    pub fn totals(&self) -> &BillTotals {
        self.bills.totals()
    }

    /// Returns the totals of the late bills.
    #[must_use]
    pub fn late_totals(&self) -> &BillTotals {
        self.bills.late_totals()
    }

    /// Applies the records of a batch.
    pub fn apply(&mut self, batch: &Batch) {
        for record in &batch.records {
            self.apply_record(record, batch.seq);
        }
    }

    /// Applies one record from the batch at `seq`.
    pub fn apply_record(&mut self, record: &Record, seq: u64) {
        match record {
            Record::Opened { epoch, .. } => self.epoch = *epoch,
            Record::Claimed { claim, at_unix_ms } => self.claims.record_claim(claim, *at_unix_ms),
            Record::Settled {
                key,
                attempt,
                outcome,
                at_unix_ms,
            } => self
                .claims
                .record_outcome(key, *attempt, outcome, *at_unix_ms),
            Record::Billed(bill) => self.bills.record(bill, seq, false),
            Record::BilledLate(bill) => self.bills.record(bill, seq, true),
        }
    }

    /// Returns whether the shard refuses new claims until others expire.
    #[must_use]
    pub fn is_full(&self, settings: &LedgerSettings) -> bool {
        self.claims.is_full(settings)
    }

    /// Removes expired claims and evicts bills above the limit.
    pub fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        self.claims.prune(settings, now);
        self.bills.prune(settings, now);
    }

    /// Returns the state in its snapshot form.
    #[must_use]
    pub fn to_snapshot(&self) -> SnapshotContent {
        let mut content = SnapshotContent {
            epoch: self.epoch,
            claims: self.claims.entries(),
            ..SnapshotContent::default()
        };
        self.bills.write_to(&mut content);
        content
    }

    /// Decides the effect of `call` without applying it.
    #[must_use]
    pub fn decide(&self, call: LedgerCall, settings: &LedgerSettings, now: Now) -> Decision {
        match call {
            LedgerCall::Claim(claim) => self.claims.decide_claim(claim, settings, now),
            LedgerCall::Settle {
                key,
                attempt,
                outcome,
            } => self
                .claims
                .decide_settle(key, attempt, outcome, settings, now),
            LedgerCall::Bill(bill) => self.bills.decide_bill(bill),
            LedgerCall::FindBill(request_id) => self.bills.decide_find(request_id),
            LedgerCall::FindClaim(key) => {
                let state = self.claims.find(&key, settings, now);
                Decision::Reply(LedgerReply::Claimed(state))
            }
        }
    }
}

impl From<SnapshotContent> for ShardState {
    fn from(mut content: SnapshotContent) -> Self {
        Self {
            epoch: content.epoch,
            bills: Bills::restore(&mut content),
            claims: Claims::restore(content.claims),
        }
    }
}

/// Refuses a call because its attempt does not hold the claim.
fn refuse_not_holder(detail: &str) -> Decision {
    Decision::Reply(LedgerReply::Failed {
        kind: LedgerErrorKind::NotHolder,
        detail: detail.to_owned(),
    })
}
