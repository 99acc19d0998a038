//! The state that a shard's records add up to.

mod claims;
mod totals;

pub use totals::BillTotals;

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use crate::LedgerErrorKind;
use crate::call::{LedgerCall, LedgerReply};
use crate::record::{Batch, Record};
use crate::settings::LedgerSettings;

use claims::Claims;

/// The claims, the recent bills and the totals of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    claims: Claims,
    bills: HashMap<RequestId, u64>,
    totals: BillTotals,
    epoch: u64,
}

/// What a call does to a shard.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The record is written, then the reply is sent.
    Write(Record, LedgerReply),
    /// The reply is sent once the state is known to be current.
    Confirm(LedgerReply),
    /// The bill lies in the batch at this position of the log.
    ReadBill {
        /// The request that was billed.
        request_id: RequestId,
        /// The position of the batch.
        seq: u64,
    },
}

impl ShardState {
    /// Returns how often the shard has changed its owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
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
            Record::Billed(bill) => {
                if self.bills.insert(bill.request_id, seq).is_none() {
                    self.totals.add(bill);
                }
            }
        }
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
            } => self.claims.decide_settle(key, attempt, outcome, now),
            LedgerCall::Bill(bill) => {
                if self.bills.contains_key(&bill.request_id) {
                    return Decision::Confirm(LedgerReply::Recorded);
                }
                Decision::Write(Record::Billed(bill), LedgerReply::Recorded)
            }
            LedgerCall::FindBill(request_id) => match self.bills.get(&request_id) {
                Some(&seq) => Decision::ReadBill { request_id, seq },
                None => Decision::Confirm(LedgerReply::Bill(None)),
            },
            LedgerCall::FindClaim(key) => {
                let found = self.claims.find(&key, settings, now);
                Decision::Confirm(LedgerReply::Claimed(found))
            }
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
