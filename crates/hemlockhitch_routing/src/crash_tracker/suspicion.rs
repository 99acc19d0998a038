//! Admission of requests while it is not known whether a suspect crashes endpoints.
//!
//! It is made for parts that many requests share when many endpoints go down at once, and
//! for nodes that start and find the record of a block: refusing the requests would cost
//! callers their answers, and sending them might cost endpoints. So the requests wait, and
//! a few of them show which it is.

use std::collections::BTreeMap;

use hemlockhitch_model::Now;

use super::{CrashTracker, PastMs, RequestTraits, Suspect, Verdict, past};
use crate::limits::NodeShares;

/// How long requests wait for the results of those that are at endpoints already, in
/// milliseconds: requests that met a crash have usually reached the next endpoint, and
/// responded or crashed it, by then.
const HOLD_MS: PastMs = 500;

/// Time between the test by the first request and tests by others, in milliseconds: that
/// of a response and of the news of it.
const FIRST_TEST_MS: PastMs = 250;

/// Interval at which the number of nodes that may test a suspect doubles, in milliseconds.
/// All nodes of 340 may after 1.4 s. Within the time of a response and of the news of it,
/// some 250 ms, the number grows fourfold at most: with 100 ms, a recorded part that one of
/// four requests had crashed nine endpoints of 340 nodes.
const TEST_TURN_MS: PastMs = 150;

/// Time after which a node may test again, in milliseconds, if the test showed nothing.
const TEST_RETRY_MS: PastMs = 1_000;

/// How long crashes with a common cause hold a part back, in milliseconds. By then, each
/// node has been allowed to test it.
const COMMON_CAUSE_RETENTION_MS: PastMs = 2_200;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Allowed,
    /// It is not yet known whether it crashes endpoints.
    Wait,
    /// It is sent to no endpoint.
    Blocked,
}

/// Where a suspicion comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// Crashes that may have a common cause.
    CommonCause {
        /// Fingerprint of the request that tests the suspect first.
        first_tester: Option<u64>,
    },
    /// A record in the store, which may have been refuted since it was written.
    Record,
}

/// A suspect that few requests may test.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub origin: Origin,
    pub since_mono_ms: PastMs,
    pub tested_mono_ms: Option<PastMs>,
}

impl Suspicion {
    /// Returns whether a request may be sent, given this suspicion alone.
    pub(super) fn admits(
        &self,
        suspect_hash: u64,
        fingerprint: u64,
        nodes: NodeShares<'_>,
        mono_ms: PastMs,
    ) -> bool {
        let elapsed_ms = mono_ms - self.since_mono_ms;
        let hold_ms = match self.origin {
            Origin::CommonCause { .. } if elapsed_ms >= COMMON_CAUSE_RETENTION_MS => return true,
            Origin::CommonCause { first_tester } if first_tester == Some(fingerprint) => {
                return elapsed_ms >= HOLD_MS;
            }
            Origin::CommonCause { .. } => HOLD_MS + FIRST_TEST_MS,
            Origin::Record => 0,
        };
        let Ok(turns) = u32::try_from((elapsed_ms - hold_ms).div_euclid(TEST_TURN_MS)) else {
            return false;
        };
        let is_testing = self
            .tested_mono_ms
            .is_some_and(|tested| mono_ms < tested + TEST_RETRY_MS);
        !is_testing && nodes.rank(suspect_hash) < 1_usize << turns.min(u32::BITS - 1)
    }

    /// Returns whether the suspicion still has an effect.
    pub(super) fn is_active(&self, mono_ms: PastMs) -> bool {
        self.origin == Origin::Record || mono_ms < self.since_mono_ms + COMMON_CAUSE_RETENTION_MS
    }
}

impl CrashTracker {
    /// Decides whether a request may be sent to an endpoint now. `Allowed` may make it the
    /// test of a suspect, so it is to be sent then.
    pub fn admit(
        &mut self,
        request: RequestTraits<'_>,
        nodes: NodeShares<'_>,
        now: Now,
    ) -> Admission {
        if self.is_blocked(request) {
            return Admission::Blocked;
        }
        let held = self.held.values_mut();
        let held = held.map(|(verdict, suspicion)| (&*verdict, suspicion));
        let recorded = self.recorded.values_mut();
        let recorded = recorded.map(|block| (&block.verdict, &mut block.suspicion));
        let suspicions = held.chain(recorded).filter(|(verdict, suspicion)| {
            suspicion.is_active(past(now)) && verdict.blocks(&request)
        });
        let mut suspicions: Vec<_> = suspicions.collect();
        let admits = |(verdict, suspicion): &(&Verdict, &mut Suspicion)| {
            suspicion.admits(
                verdict.suspect.hash(),
                request.fingerprint,
                nodes,
                past(now),
            )
        };
        if !suspicions.iter().all(admits) {
            return Admission::Wait;
        }
        for (_, suspicion) in &mut suspicions {
            suspicion.tested_mono_ms = Some(past(now));
        }
        Admission::Allowed
    }

    /// Returns the request that tests a suspect first: of those that met a crash, one that
    /// met the fewest, since it probably waits to be sent again.
    fn first_tester(&self, suspect: Suspect) -> Option<u64> {
        let mut crashes: BTreeMap<u64, usize> = BTreeMap::new();
        for crash in self.crashes.keys().filter(|crash| crash.suspect == suspect) {
            *crashes.entry(crash.fingerprint).or_default() += 1;
        }
        let fewest = crashes.into_iter().min_by_key(|(_, count)| *count);
        fewest.map(|(fingerprint, _)| fingerprint)
    }

    /// Holds back the suspects whose independent crashes are too few.
    pub(super) fn hold_back(&mut self, held: Vec<(Verdict, PastMs)>, now: Now) {
        let mut before = std::mem::take(&mut self.held);
        for (verdict, since_mono_ms) in held {
            let tested_mono_ms = before
                .remove(&verdict.suspect)
                .and_then(|(_, suspicion)| suspicion.tested_mono_ms);
            let suspicion = Suspicion {
                origin: Origin::CommonCause {
                    first_tester: self.first_tester(verdict.suspect),
                },
                since_mono_ms,
                tested_mono_ms,
            };
            if suspicion.is_active(past(now)) {
                self.held.insert(verdict.suspect, (verdict, suspicion));
            }
        }
    }
}
