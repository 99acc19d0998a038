//! Claims of one shard and the decisions on claim calls.

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use super::{Decision, refuse_not_holder};
use crate::LedgerErrorKind;
use crate::call::LedgerReply;
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::record::Record;
use crate::settings::LedgerSettings;
use crate::snapshot::ClaimEntry;

/// Maximum number of spent attempts that are kept per key.
const MAX_SPENT_ATTEMPTS: usize = 8;

/// Estimated memory of a claim, excluding its strings, in bytes.
const CLAIM_OVERHEAD_BYTES: usize = 900;

/// Claims of one shard by key, and their estimated memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    entries: HashMap<ClaimKey, Entry>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    state: ClaimState,
    changed_unix_ms: u64,
    /// Attempts that ended as not run. A delayed or retried claim of one of them
    /// is refused.
    spent: Vec<RequestId>,
}

impl Entry {
    fn is_released(&self) -> bool {
        self.state.outcome == Some(Outcome::NotRun)
    }

    fn is_retained(&self, settings: &LedgerSettings, now: Now) -> bool {
        now.unix_ms < self.changed_unix_ms.saturating_add(settings.retention_ms)
    }

    /// Returns the outcome of the attempt; it is `Unknown` if none was recorded
    /// within [`LedgerSettings::claim_timeout_ms`].
    fn outcome(&self, settings: &LedgerSettings, now: Now) -> Option<Outcome> {
        let unknown_at_unix_ms = self.state.since_unix_ms + settings.claim_timeout_ms;
        match &self.state.outcome {
            None if now.unix_ms >= unknown_at_unix_ms => Some(Outcome::Unknown),
            outcome => outcome.clone(),
        }
    }

    /// Returns the estimated memory of the claim of `key`.
    fn size_bytes(&self, key: &ClaimKey) -> usize {
        let body_bytes = match &self.state.outcome {
            Some(Outcome::Done { body, .. }) => body.len(),
            _ => 0,
        };
        let text_bytes = key.idempotency_key.len() + self.state.call_digest.len();
        CLAIM_OVERHEAD_BYTES + text_bytes + body_bytes
    }

    fn mark_spent(&mut self, attempt: RequestId) {
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
    /// Applies a granted claim.
    pub(super) fn record_claim(&mut self, claim: &Claim, at_unix_ms: u64) {
        let state = ClaimState {
            attempt: claim.attempt,
            call_digest: claim.call_digest.clone(),
            since_unix_ms: at_unix_ms,
            outcome: None,
        };
        let previous = self.remove(&claim.key);
        let entry = Entry {
            state,
            changed_unix_ms: at_unix_ms,
            spent: previous.map(|entry| entry.spent).unwrap_or_default(),
        };
        self.insert(claim.key.clone(), entry);
    }

    /// Applies the outcome of `attempt`.
    pub(super) fn record_outcome(
        &mut self,
        key: &ClaimKey,
        attempt: RequestId,
        outcome: &Outcome,
        at_unix_ms: u64,
    ) {
        let mut entry = self.remove(key).unwrap_or_else(|| Entry {
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
            entry.mark_spent(attempt);
        }
        self.insert(key.clone(), entry);
    }

    /// Decides whether to grant `claim`.
    pub(super) fn decide_claim(
        &self,
        claim: Claim,
        settings: &LedgerSettings,
        now: Now,
    ) -> Decision {
        let Some(entry) = self.retained(&claim.key, settings, now) else {
            if self.is_full(settings) {
                return refuse_full();
            }
            return write_claim(claim, now);
        };
        if entry.spent.contains(&claim.attempt) {
            return refuse_not_holder("the attempt ended as not run; claim with a new attempt");
        }
        if entry.is_released() {
            return write_claim(claim, now);
        }
        if entry.state.call_digest != claim.call_digest {
            return Decision::Reply(LedgerReply::Claim(ClaimAnswer::Mismatch));
        }
        let answer = match entry.outcome(settings, now) {
            Some(outcome) => ClaimAnswer::Ended(outcome),
            None if entry.state.attempt == claim.attempt => ClaimAnswer::Granted,
            None => ClaimAnswer::InProgress {
                attempt: entry.state.attempt,
                since_unix_ms: entry.state.since_unix_ms,
            },
        };
        Decision::Reply(LedgerReply::Claim(answer))
    }

    /// Decides whether to record `outcome` for `attempt`.
    pub(super) fn decide_settle(
        &self,
        key: ClaimKey,
        attempt: RequestId,
        outcome: Outcome,
        settings: &LedgerSettings,
        now: Now,
    ) -> Decision {
        let current = self.entries.get(&key);
        let not_run = outcome == Outcome::NotRun;
        match current {
            // The attempt's claim may still be in flight. Recording the release
            // first makes it be refused when it arrives.
            None if not_run && self.is_full(settings) => refuse_full(),
            None if not_run => write_outcome(key, attempt, outcome, now),
            None => refuse_not_holder("no claim is recorded; the outcome is not kept"),
            Some(entry) if entry.spent.contains(&attempt) => {
                if not_run {
                    return Decision::Reply(LedgerReply::Recorded);
                }
                refuse_not_holder("the attempt ended as not run; its outcome cannot change")
            }
            Some(entry) if entry.state.attempt != attempt => {
                if not_run && entry.is_released() {
                    return write_outcome(key, attempt, outcome, now);
                }
                refuse_not_holder("another attempt holds the claim; the outcome is not kept")
            }
            Some(entry) => match &entry.state.outcome {
                None | Some(Outcome::Unknown) if entry.state.outcome.as_ref() != Some(&outcome) => {
                    write_outcome(key, attempt, outcome, now)
                }
                Some(recorded) if *recorded == outcome || outcome == Outcome::Unknown => {
                    Decision::Reply(LedgerReply::Recorded)
                }
                _ => refuse_not_holder(
                    "the attempt has ended in another way; its outcome cannot change",
                ),
            },
        }
    }

    /// Returns the state of a claim, or `None` if it is unknown or expired.
    pub(super) fn find(
        &self,
        key: &ClaimKey,
        settings: &LedgerSettings,
        now: Now,
    ) -> Option<ClaimState> {
        let entry = self.retained(key, settings, now)?;
        let mut state = entry.state.clone();
        state.outcome = entry.outcome(settings, now);
        Some(state)
    }

    /// Returns whether the shard is at its memory limit and refuses new claims.
    pub(super) fn is_full(&self, settings: &LedgerSettings) -> bool {
        self.bytes >= settings.max_claim_bytes
    }

    /// Removes expired claims.
    pub(super) fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        self.entries
            .retain(|_, entry| entry.is_retained(settings, now));
        let sizes = self
            .entries
            .iter()
            .map(|(key, entry)| entry.size_bytes(key));
        self.bytes = sizes.sum();
    }

    /// Returns the claims in their snapshot form.
    pub(super) fn entries(&self) -> Vec<ClaimEntry> {
        let entries = self.entries.iter().map(|(key, entry)| ClaimEntry {
            key: key.clone(),
            state: entry.state.clone(),
            changed_unix_ms: entry.changed_unix_ms,
            spent: entry.spent.clone(),
        });
        entries.collect()
    }

    /// Restores the claims from a snapshot.
    pub(super) fn restore(entries: Vec<ClaimEntry>) -> Self {
        let mut claims = Self::default();
        for stored in entries {
            let entry = Entry {
                state: stored.state,
                changed_unix_ms: stored.changed_unix_ms,
                spent: stored.spent,
            };
            claims.insert(stored.key, entry);
        }
        claims
    }

    fn insert(&mut self, key: ClaimKey, entry: Entry) {
        self.bytes += entry.size_bytes(&key);
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &ClaimKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.size_bytes(key);
        Some(entry)
    }

    fn retained(&self, key: &ClaimKey, settings: &LedgerSettings, now: Now) -> Option<&Entry> {
        let entry = self.entries.get(key)?;
        entry.is_retained(settings, now).then_some(entry)
    }
}

fn refuse_full() -> Decision {
    Decision::Reply(LedgerReply::Failed {
        kind: LedgerErrorKind::Full,
        detail: "the shard holds as many claims as it may; raise the limit or keep them shorter"
            .to_owned(),
    })
}

fn write_claim(claim: Claim, now: Now) -> Decision {
    let record = Record::Claimed {
        claim,
        at_unix_ms: now.unix_ms,
    };
    Decision::Write(record, LedgerReply::Claim(ClaimAnswer::Granted))
}

fn write_outcome(key: ClaimKey, attempt: RequestId, outcome: Outcome, now: Now) -> Decision {
    let record = Record::Settled {
        key,
        attempt,
        outcome,
        at_unix_ms: now.unix_ms,
    };
    Decision::Write(record, LedgerReply::Recorded)
}
