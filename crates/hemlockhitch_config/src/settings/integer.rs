//! Definitions of integer settings: keys, units, defaults and bounds.

use super::fault::{Fault, FaultKind};

/// Definition of an integer setting; the suffix of its key is its unit.
#[derive(Clone, Copy, Debug)]
pub(super) struct IntegerSetting {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    pub(super) default: u64,
    pub(super) min: u64,
    pub(super) max: u64,
}

impl IntegerSetting {
    const fn new(
        section: &'static str,
        key: &'static str,
        default: u64,
        (min, max): (u64, u64),
    ) -> Self {
        Self {
            section,
            key,
            default,
            min,
            max,
        }
    }

    /// Returns the unit in words, for faults.
    pub(super) fn unit(&self) -> &'static str {
        if self.key.ends_with("_ms") {
            "milliseconds"
        } else if self.key.ends_with("_bytes") {
            "bytes"
        } else {
            "a plain count"
        }
    }

    /// Returns whether the value is within the bounds, which are inclusive.
    pub(super) fn is_in_bounds(&self, value: u64) -> bool {
        (self.min..=self.max).contains(&value)
    }

    /// Returns the fault for a value that is out of bounds.
    pub(super) fn out_of_bounds(&self, value: u64) -> Fault {
        Fault {
            kind: FaultKind::OutOfBounds,
            line: None,
            key: format!("{}.{}", self.section, self.key),
            message: format!("{value} is out of bounds"),
            remedy: format!("use {} to {}", self.min, self.max),
        }
    }
}

const LIMITS: &str = "limits";
const CONTROL: &str = "control";
const GATEWAY: &str = "gateway";

pub(super) const BODY_BYTES: IntegerSetting =
    IntegerSetting::new(LIMITS, "body_bytes", 1 << 20, (1 << 10, 16 << 20));
pub(super) const HEADER_BYTES: IntegerSetting =
    IntegerSetting::new(LIMITS, "header_bytes", 16 << 10, (1 << 10, 256 << 10));
pub(super) const QUEUE_MS: IntegerSetting =
    IntegerSetting::new(LIMITS, "queue_ms", 2_000, (10, 60_000));
pub(super) const ANSWER_MS: IntegerSetting =
    IntegerSetting::new(LIMITS, "answer_ms", 120_000, (1_000, 3_600_000));
pub(super) const CHUNK_MS: IntegerSetting =
    IntegerSetting::new(LIMITS, "chunk_ms", 15_000, (100, 600_000));
pub(super) const DRAIN_MS: IntegerSetting =
    IntegerSetting::new(LIMITS, "drain_ms", 30_000, (0, 600_000));
pub(super) const IN_FLIGHT: IntegerSetting =
    IntegerSetting::new(LIMITS, "in_flight", 1_000, (1, 100_000));

pub(super) const LEASE_MS: IntegerSetting =
    IntegerSetting::new(CONTROL, "lease_ms", 10_000, (200, 120_000));
pub(super) const HEARTBEAT_MS: IntegerSetting =
    IntegerSetting::new(CONTROL, "heartbeat_ms", 1_000, (20, 10_000));
pub(super) const SELF_STOP_MS: IntegerSetting =
    IntegerSetting::new(CONTROL, "self_stop_ms", 4_000, (100, 30_000));
pub(super) const SHARDS: IntegerSetting = IntegerSetting::new(CONTROL, "shards", 16, (1, 64));
pub(super) const BUCKETS: IntegerSetting = IntegerSetting::new(CONTROL, "buckets", 64, (1, 4_096));
pub(super) const WATCHERS_PER_DATA_CENTRE: IntegerSetting =
    IntegerSetting::new(CONTROL, "watchers_per_data_centre", 2, (1, 8));

pub(super) const REVOKE_MS: IntegerSetting =
    IntegerSetting::new(GATEWAY, "revoke_ms", 5_000, (1_000, 600_000));
pub(super) const APPLY_MS: IntegerSetting =
    IntegerSetting::new(GATEWAY, "apply_ms", 5_000, (500, 600_000));
pub(super) const GATEWAY_IN_FLIGHT: IntegerSetting =
    IntegerSetting::new(GATEWAY, "in_flight", 1_000, (1, 100_000));
