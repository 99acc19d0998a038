//! A fake in-memory ledger.

use std::collections::HashMap;

use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::{Ledger, LedgerError, LedgerErrorKind};
use hemlockhitch_model::{Now, RequestId};

use crate::support::{Shared, lock};

/// An in-memory ledger that can be made unavailable.
#[derive(Clone, Default)]
pub struct FakeLedger {
    down: Shared<bool>,
    claims: Shared<HashMap<ClaimKey, ClaimRecord>>,
    bills: Shared<HashMap<RequestId, Bill>>,
}

struct ClaimRecord {
    claim: Claim,
    outcome: Option<Outcome>,
}

impl FakeLedger {
    /// Sets whether the ledger is unavailable, so that every call fails.
    pub fn set_down(&self, down: bool) {
        *lock(&self.down) = down;
    }

    /// Returns the recorded bills, one line each, sorted.
    pub fn bills(&self) -> Vec<String> {
        let bills = lock(&self.bills);
        let mut lines: Vec<String> = bills.values().map(format_bill).collect();
        lines.sort();
        lines
    }

    fn check_available(&self) -> Result<(), LedgerError> {
        if *lock(&self.down) {
            return Err(LedgerError::new(
                LedgerErrorKind::Unavailable,
                "store does not answer; retry later",
            ));
        }
        Ok(())
    }
}

fn format_bill(bill: &Bill) -> String {
    format!(
        "{} at {}: {}+{} tokens, {} micros",
        bill.ran_on, bill.endpoint, bill.prompt_tokens, bill.completion_tokens, bill.cost_micros
    )
}

impl Ledger for FakeLedger {
    async fn claim(&self, claim: Claim, _now: Now) -> Result<ClaimAnswer, LedgerError> {
        self.check_available()?;
        let mut claims = lock(&self.claims);
        let Some(record) = claims.get(&claim.key) else {
            let key = claim.key.clone();
            claims.insert(
                key,
                ClaimRecord {
                    claim,
                    outcome: None,
                },
            );
            return Ok(ClaimAnswer::Granted);
        };
        if record.claim.call_digest != claim.call_digest {
            return Ok(ClaimAnswer::Mismatch);
        }
        Ok(match &record.outcome {
            Some(outcome) => ClaimAnswer::Ended(outcome.clone()),
            None => ClaimAnswer::InProgress {
                attempt: record.claim.attempt,
                since_unix_ms: 0,
            },
        })
    }

    async fn settle(
        &self,
        key: &ClaimKey,
        _attempt: RequestId,
        outcome: Outcome,
        _now: Now,
    ) -> Result<(), LedgerError> {
        self.check_available()?;
        let mut claims = lock(&self.claims);
        if outcome == Outcome::NotRun {
            claims.remove(key);
        } else if let Some(record) = claims.get_mut(key) {
            record.outcome = Some(outcome);
        }
        Ok(())
    }

    async fn bill(&self, bill: Bill, _now: Now) -> Result<(), LedgerError> {
        self.check_available()?;
        lock(&self.bills).entry(bill.request_id).or_insert(bill);
        Ok(())
    }
}
