//! The claims of one shard.

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use super::{Decision, not_holder};
use crate::call::LedgerReply;
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::record::Record;
use crate::settings::LedgerSettings;

/// How many attempts that ended as not run are remembered for one key.
const MAX_SPENT_ATTEMPTS: usize = 8;

/// The claims of one shard by key.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    entries: HashMap<ClaimKey, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    state: ClaimState,
    changed_unix_ms: u64,
    /// Attempts that ended as not run; a delayed repeat of their claims is
    /// refused.
    spent: Vec<RequestId>,
}

impl Entry {
    fn is_free(&self) -> bool {
        self.state.outcome == Some(Outcome::NotRun)
    }

    fn is_kept(&self, settings: &LedgerSettings, now: Now) -> bool {
        now.unix_ms < self.changed_unix_ms.saturating_add(settings.retention_ms)
    }

    /// Returns how the attempt ended; an attempt that is silent for too long
    /// ended in an unknown way.
    fn outcome(&self, settings: &LedgerSettings, now: Now) -> Option<Outcome> {
        let limit = self.state.since_unix_ms + settings.claim_unknown_ms;
        match &self.state.outcome {
            None if now.unix_ms >= limit => Some(Outcome::Unknown),
            outcome => outcome.clone(),
        }
    }

    fn spend(&mut self, attempt: RequestId) {
        if self.spent.contains(&attempt) {
            return;
        }
        if self.spent.len() == MAX_SPENT_ATTEMPTS {
            self.spent.remove(0);
        }
        self.spent.push(attempt);
    }
}

impl Claims {
    /// Records that `claim` was granted.
    pub(super) fn claim(&mut self, claim: &Claim, at_unix_ms: u64) {
        let state = ClaimState {
            attempt: claim.attempt,
            call_digest: claim.call_digest.clone(),
            since_unix_ms: at_unix_ms,
            outcome: None,
        };
        let spent = self.entries.remove(&claim.key).map(|entry| entry.spent);
        let entry = Entry {
            state,
            changed_unix_ms: at_unix_ms,
            spent: spent.unwrap_or_default(),
        };
        self.entries.insert(claim.key.clone(), entry);
    }

    /// Records that `attempt` ended.
    pub(super) fn settle(
        &mut self,
        key: &ClaimKey,
        attempt: RequestId,
        outcome: &Outcome,
        at_unix_ms: u64,
    ) {
        let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry {
            state: ClaimState {
                attempt,
                call_digest: String::new(),
                since_unix_ms: at_unix_ms,
                outcome: None,
            },
            changed_unix_ms: at_unix_ms,
            spent: Vec::new(),
        });
        entry.state.attempt = attempt;
        entry.state.outcome = Some(outcome.clone());
        entry.changed_unix_ms = at_unix_ms;
        if *outcome == Outcome::NotRun {
            entry.spend(attempt);
        }
    }

    /// Decides whether `claim` is granted.
    pub(super) fn decide_claim(
        &self,
        claim: Claim,
        settings: &LedgerSettings,
        now: Now,
    ) -> Decision {
        let Some(entry) = self.kept(&claim.key, settings, now) else {
            return grant(claim, now);
        };
        if entry.spent.contains(&claim.attempt) {
            return not_holder("the attempt ended as not run; claim with a new attempt");
        }
        if entry.is_free() {
            return grant(claim, now);
        }
        if entry.state.call_digest != claim.call_digest {
            return Decision::Confirm(LedgerReply::Claim(ClaimAnswer::Mismatch));
        }
        let answer = match entry.outcome(settings, now) {
            Some(outcome) => ClaimAnswer::Ended(outcome),
            None if entry.state.attempt == claim.attempt => ClaimAnswer::Granted,
            None => ClaimAnswer::InProgress {
                attempt: entry.state.attempt,
                since_unix_ms: entry.state.since_unix_ms,
            },
        };
        Decision::Confirm(LedgerReply::Claim(answer))
    }

    /// Decides whether `attempt` may end with `outcome`.
    pub(super) fn decide_settle(
        &self,
        key: ClaimKey,
        attempt: RequestId,
        outcome: Outcome,
        now: Now,
    ) -> Decision {
        let held = self.entries.get(&key);
        let not_run = outcome == Outcome::NotRun;
        match held {
            // The claim of this attempt may still be under way and must then be refused.
            None if not_run => settle(key, attempt, outcome, now),
            None => not_holder("no claim is recorded; the outcome is not kept"),
            Some(entry) if entry.spent.contains(&attempt) => {
                if not_run {
                    return Decision::Confirm(LedgerReply::Recorded);
                }
                not_holder("the attempt ended as not run; its outcome cannot change")
            }
            Some(entry) if entry.state.attempt != attempt => {
                if not_run && entry.is_free() {
                    return settle(key, attempt, outcome, now);
                }
                not_holder("another attempt holds the claim; the outcome is not kept")
            }
            Some(entry) => match &entry.state.outcome {
                None | Some(Outcome::Unknown) if entry.state.outcome.as_ref() != Some(&outcome) => {
                    settle(key, attempt, outcome, now)
                }
                Some(known) if *known == outcome || outcome == Outcome::Unknown => {
                    Decision::Confirm(LedgerReply::Recorded)
                }
                _ => not_holder("the attempt has ended in another way; its outcome cannot change"),
            },
        }
    }

    /// Returns the state of a claim.
    pub(super) fn find(
        &self,
        key: &ClaimKey,
        settings: &LedgerSettings,
        now: Now,
    ) -> Option<ClaimState> {
        let entry = self.kept(key, settings, now)?;
        let mut state = entry.state.clone();
        state.outcome = entry.outcome(settings, now);
        Some(state)
    }

    fn kept(&self, key: &ClaimKey, settings: &LedgerSettings, now: Now) -> Option<&Entry> {
        let entry = self.entries.get(key)?;
        entry.is_kept(settings, now).then_some(entry)
    }
}

fn grant(claim: Claim, now: Now) -> Decision {
    let record = Record::Claimed {
        claim,
        at_unix_ms: now.unix_ms,
    };
    Decision::Write(record, LedgerReply::Claim(ClaimAnswer::Granted))
}

fn settle(key: ClaimKey, attempt: RequestId, outcome: Outcome, now: Now) -> Decision {
    let record = Record::Settled {
        key,
        attempt,
        outcome,
        at_unix_ms: now.unix_ms,
    };
    Decision::Write(record, LedgerReply::Recorded)
}
