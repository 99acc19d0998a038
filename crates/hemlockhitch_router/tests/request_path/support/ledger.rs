//! A fake ledger in memory.

use std::collections::HashMap;

use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::{Ledger, LedgerError, LedgerErrorKind};
use hemlockhitch_model::{Now, RequestId};

use crate::support::{Shared, lock};

/// A ledger that can be made to fail.
#[derive(Clone, Default)]
pub struct FakeLedger {
    down: Shared<bool>,
    claims: Shared<HashMap<ClaimKey, Held>>,
    bills: Shared<HashMap<RequestId, Bill>>,
}

struct Held {
    claim: Claim,
    outcome: Option<Outcome>,
}

impl FakeLedger {
    /// Makes every call fail, or work again.
    pub fn set_down(&self, down: bool) {
        *lock(&self.down) = down;
    }

    /// Returns the recorded bills as one line each.
    pub fn bills(&self) -> Vec<String> {
        let bills = lock(&self.bills);
        let mut lines: Vec<String> = bills.values().map(line).collect();
        lines.sort();
        lines
    }

    fn check(&self) -> Result<(), LedgerError> {
        if *lock(&self.down) {
            return Err(LedgerError::new(
                LedgerErrorKind::Unavailable,
                "store does not answer; retry later",
            ));
        }
        Ok(())
    }
}

fn line(bill: &Bill) -> String {
    format!(
        "{} at {}: {}+{} tokens, {} micros",
        bill.ran_on, bill.endpoint, bill.prompt_tokens, bill.completion_tokens, bill.cost_micros
    )
}

impl Ledger for FakeLedger {
    async fn claim(&self, claim: Claim, _now: Now) -> Result<ClaimAnswer, LedgerError> {
        self.check()?;
        let mut claims = lock(&self.claims);
        let Some(held) = claims.get(&claim.key) else {
            let key = claim.key.clone();
            claims.insert(
                key,
                Held {
                    claim,
                    outcome: None,
                },
            );
            return Ok(ClaimAnswer::Granted);
        };
        if held.claim.call_digest != claim.call_digest {
            return Ok(ClaimAnswer::Mismatch);
        }
        Ok(match &held.outcome {
            Some(outcome) => ClaimAnswer::Ended(outcome.clone()),
            None => ClaimAnswer::InProgress {
                attempt: held.claim.attempt,
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
        self.check()?;
        let mut claims = lock(&self.claims);
        if outcome == Outcome::NotRun {
            claims.remove(key);
        } else if let Some(held) = claims.get_mut(key) {
            held.outcome = Some(outcome);
        }
        Ok(())
    }

    async fn bill(&self, bill: Bill, _now: Now) -> Result<(), LedgerError> {
        self.check()?;
        lock(&self.bills).entry(bill.request_id).or_insert(bill);
        Ok(())
    }
}
