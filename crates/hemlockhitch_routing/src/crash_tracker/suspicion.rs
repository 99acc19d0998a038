//! Admission of requests while it is not known whether a suspect crashes endpoints.
//!
//! It is made for parts that many requests share when many endpoints go down at once, and
//! for nodes that start and find the record of a block: refusing the requests would cost
//! callers their answers, and sending them might cost endpoints. So the requests wait, and
//! a few of them show which it is.

use super::PastMs;
use crate::limits::NodeShares;

/// How long requests wait for the results of those that are at endpoints already, in
/// milliseconds: requests that met a crash have usually reached the next endpoint, and
/// responded or crashed it, by then.
const HOLD_MS: PastMs = 500;

/// Interval at which the number of nodes that may test a suspect doubles, in milliseconds.
/// All nodes of 340 may after 0.9 s, and in the time of a response, some 250 ms, less than
/// eight times as many begin a test.
const TEST_TURN_MS: PastMs = 100;

/// Time after which a node may test again, in milliseconds, if the test showed nothing.
const TEST_RETRY_MS: PastMs = 1_000;

/// How long crashes with a common cause hold a part back, in milliseconds. By then, each
/// node has been allowed to test it.
const COMMON_CAUSE_RETENTION_MS: PastMs = 2_000;

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
    CommonCause,
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
    pub(super) fn admits(&self, suspect_hash: u64, nodes: NodeShares<'_>, mono_ms: PastMs) -> bool {
        let elapsed_ms = mono_ms - self.since_mono_ms;
        let hold_ms = match self.origin {
            Origin::CommonCause if elapsed_ms >= COMMON_CAUSE_RETENTION_MS => return true,
            Origin::CommonCause => HOLD_MS,
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
