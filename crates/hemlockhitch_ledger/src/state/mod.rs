//! The state that a shard's records add up to.

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

/// The claims, the recent bills and the totals of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    claims: Claims,
    bills: Bills,
    epoch: u64,
}

/// What a call does to a shard.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The record is written, then the reply is sent.
    Write(Record, LedgerReply),
    /// The reply is sent once the state is known to be current.
    Confirm(LedgerReply),
    /// The bill is read again from the log.
    ReadBill(RecordedBill),
}

impl ShardState {
    /// Returns how often the shard has changed its owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the sums of the bills but the late ones.
    #[must_use]
    pub fn totals(&self) -> &BillTotals {
        self.bills.totals()
    }

    /// Returns the sums of the late bills.
    #[must_use]
    pub fn late_totals(&self) -> &BillTotals {
        self.bills.late_totals()
    }

    /// Adds the records of a batch.
    pub fn apply(&mut self, batch: &Batch) {
        for record in &batch.records {
            self.apply_record(record, batch.seq);
        }
    }

    /// Adds one record, which lies in the batch at `seq`.
    pub fn apply_record(&mut self, record: &Record, seq: u64) {
        match record {
            Record::Opened { epoch, .. } => self.epoch = *epoch,
            Record::Claimed { claim, at_unix_ms } => self.claims.claim(claim, *at_unix_ms),
            Record::Settled {
                key,
                attempt,
                outcome,
                at_unix_ms,
            } => self.claims.settle(key, *attempt, outcome, *at_unix_ms),
            Record::Billed(bill) => self.bills.record(bill, seq, false),
            Record::BilledLate(bill) => self.bills.record(bill, seq, true),
        }
    }

    /// Returns whether new claims are refused until others expire.
    #[must_use]
    pub fn is_full(&self, settings: &LedgerSettings) -> bool {
        self.claims.is_full(settings)
    }

    /// Forgets what is kept no longer.
    pub fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        self.claims.prune(settings, now);
        self.bills.prune(settings, now);
    }

    /// Returns the state as it is stored in a snapshot.
    #[must_use]
    pub fn content(&self) -> SnapshotContent {
        let mut content = SnapshotContent {
            epoch: self.epoch,
            claims: self.claims.entries(),
            ..SnapshotContent::default()
        };
        self.bills.store(&mut content);
        content
    }

    /// Decides what `call` does.
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
            LedgerCall::Bill(bill) => self.bills.decide(bill),
            LedgerCall::FindBill(request_id) => self.bills.find(request_id),
            LedgerCall::FindClaim(key) => {
                let found = self.claims.find(&key, settings, now);
                Decision::Confirm(LedgerReply::Claimed(found))
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

/// Refuses a call of an attempt that does not hold the claim.
fn not_holder(detail: &str) -> Decision {
    Decision::Confirm(LedgerReply::Failed {
        kind: LedgerErrorKind::NotHolder,
        detail: detail.to_owned(),
    })
}
