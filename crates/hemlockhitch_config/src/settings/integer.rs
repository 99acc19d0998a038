//! Numeric settings: their names, units, defaults and bounds.

use super::fault::{Fault, FaultKind};

/// One numeric setting; its unit is the suffix of its key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Number {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    pub(super) default: u64,
    pub(super) least: u64,
    pub(super) most: u64,
}

impl Number {
    const fn new(
        section: &'static str,
        key: &'static str,
        default: u64,
        (least, most): (u64, u64),
    ) -> Self {
        Self {
            section,
            key,
            default,
            least,
            most,
        }
    }

    /// Returns the unit in words, as faults name it.
    pub(super) fn unit(&self) -> &'static str {
        if self.key.ends_with("_ms") {
            "milliseconds"
        } else if self.key.ends_with("_bytes") {
            "bytes"
        } else {
            "a plain count"
        }
    }

    /// Returns whether a value lies within the bounds.
    pub(super) fn holds(&self, value: u64) -> bool {
        (self.least..=self.most).contains(&value)
    }

    /// Returns the fault of a value outside the bounds.
    pub(super) fn out_of_bounds(&self, value: u64) -> Fault {
        Fault {
            kind: FaultKind::OutOfBounds,
            line: None,
            key: format!("{}.{}", self.section, self.key),
            message: format!("{value} is out of bounds"),
            remedy: format!("use {} to {}", self.least, self.most),
        }
    }
}

const LIMITS: &str = "limits";
const CONTROL: &str = "control";
const GATEWAY: &str = "gateway";

pub(super) const BODY_BYTES: Number =
    Number::new(LIMITS, "body_bytes", 1 << 20, (1 << 10, 16 << 20));
pub(super) const HEADER_BYTES: Number =
    Number::new(LIMITS, "header_bytes", 16 << 10, (1 << 10, 256 << 10));
pub(super) const QUEUE_MS: Number = Number::new(LIMITS, "queue_ms", 2_000, (10, 60_000));
pub(super) const ANSWER_MS: Number = Number::new(LIMITS, "answer_ms", 120_000, (1_000, 3_600_000));
pub(super) const CHUNK_MS: Number = Number::new(LIMITS, "chunk_ms", 15_000, (100, 600_000));
pub(super) const DRAIN_MS: Number = Number::new(LIMITS, "drain_ms", 30_000, (0, 600_000));
pub(super) const IN_FLIGHT: Number = Number::new(LIMITS, "in_flight", 1_000, (1, 100_000));

pub(super) const LEASE_MS: Number = Number::new(CONTROL, "lease_ms", 10_000, (200, 120_000));
pub(super) const HEARTBEAT_MS: Number = Number::new(CONTROL, "heartbeat_ms", 1_000, (20, 10_000));
pub(super) const SELF_STOP_MS: Number = Number::new(CONTROL, "self_stop_ms", 4_000, (100, 30_000));
pub(super) const SHARDS: Number = Number::new(CONTROL, "shards", 16, (1, 64));
pub(super) const BUCKETS: Number = Number::new(CONTROL, "buckets", 64, (1, 4_096));
pub(super) const WATCHERS_PER_DATA_CENTRE: Number =
    Number::new(CONTROL, "watchers_per_data_centre", 2, (1, 8));

pub(super) const REVOKE_MS: Number = Number::new(GATEWAY, "revoke_ms", 5_000, (1_000, 600_000));
pub(super) const GATEWAY_IN_FLIGHT: Number = Number::new(GATEWAY, "in_flight", 1_000, (1, 100_000));
