//! The claims of one shard.

use std::collections::HashMap;

use hemlockhitch_model::{Now, RequestId};

use super::{Decision, not_holder};
use crate::LedgerErrorKind;
use crate::call::LedgerReply;
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::record::Record;
use crate::settings::LedgerSettings;
use crate::snapshot::ClaimEntry;

/// How many attempts that ended as not run are remembered for one key.
const MAX_SPENT_ATTEMPTS: usize = 8;

/// The bytes of memory that a claim takes beside its texts.
const CLAIM_BYTES: usize = 900;

/// The claims of one shard by key.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    entries: HashMap<ClaimKey, Entry>,
    bytes: usize,
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

    /// Returns the bytes of memory that the claim of `key` takes, roughly.
    fn bytes(&self, key: &ClaimKey) -> usize {
        let body_bytes = match &self.state.outcome {
            Some(Outcome::Done { body, .. }) => body.len(),
            _ => 0,
        };
        let text_bytes = key.idempotency_key.len() + self.state.call_digest.len();
        CLAIM_BYTES + text_bytes + body_bytes
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
        let former = self.remove(&claim.key);
        let entry = Entry {
            state,
            changed_unix_ms: at_unix_ms,
            spent: former.map(|entry| entry.spent).unwrap_or_default(),
        };
        self.insert(claim.key.clone(), entry);
    }

    /// Records that `attempt` ended.
    pub(super) fn settle(
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
            entry.spend(attempt);
        }
        self.insert(key.clone(), entry);
    }

    /// Decides whether `claim` is granted.
    pub(super) fn decide_claim(
        &self,
        claim: Claim,
        settings: &LedgerSettings,
        now: Now,
    ) -> Decision {
        let Some(entry) = self.kept(&claim.key, settings, now) else {
            if self.is_full(settings) {
                return full();
            }
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
        settings: &LedgerSettings,
        now: Now,
    ) -> Decision {
        let held = self.entries.get(&key);
        let not_run = outcome == Outcome::NotRun;
        match held {
            // The claim of this attempt may still be under way and must then be refused.
            None if not_run && self.is_full(settings) => full(),
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

    /// Returns whether new claims are refused.
    pub(super) fn is_full(&self, settings: &LedgerSettings) -> bool {
        self.bytes >= settings.max_claim_bytes
    }

    /// Forgets the claims that are kept no longer.
    pub(super) fn prune(&mut self, settings: &LedgerSettings, now: Now) {
        self.entries.retain(|_, entry| entry.is_kept(settings, now));
        let sizes = self.entries.iter().map(|(key, entry)| entry.bytes(key));
        self.bytes = sizes.sum();
    }

    /// Returns the claims as they are stored in a snapshot.
    pub(super) fn entries(&self) -> Vec<ClaimEntry> {
        let entries = self.entries.iter().map(|(key, entry)| ClaimEntry {
            key: key.clone(),
            state: entry.state.clone(),
            changed_unix_ms: entry.changed_unix_ms,
            spent: entry.spent.clone(),
        });
        entries.collect()
    }

    /// Reads the claims of a snapshot.
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
        self.bytes += entry.bytes(&key);
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &ClaimKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.bytes(key);
        Some(entry)
    }

    fn kept(&self, key: &ClaimKey, settings: &LedgerSettings, now: Now) -> Option<&Entry> {
        let entry = self.entries.get(key)?;
        entry.is_kept(settings, now).then_some(entry)
    }
}

fn full() -> Decision {
    Decision::Confirm(LedgerReply::Failed {
        kind: LedgerErrorKind::Full,
        detail: "the shard holds as many claims as it may; raise the limit or keep them shorter"
            .to_owned(),
    })
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
