//! Settings that may have a fraction: their names, defaults and bounds.

use super::fault::FaultKind;
use super::reader::Reader;

/// One setting that may have a fraction; its unit is the suffix of its key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decimal {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    pub(super) default: f64,
    pub(super) least: f64,
    pub(super) most: f64,
}

impl Decimal {
    const fn new(key: &'static str, default: f64, (least, most): (f64, f64)) -> Self {
        Self {
            section: "gateway",
            key,
            default,
            least,
            most,
        }
    }

    /// Reads the setting, or takes its default.
    pub(super) fn read(&self, reader: &mut Reader) -> f64 {
        let Some(entry) = reader.take(self.section, self.key) else {
            return self.default;
        };
        let (kind, message, remedy) = match entry.value.parse::<f64>() {
            Ok(value) if (self.least..=self.most).contains(&value) => return value,
            Ok(value) => (
                FaultKind::OutOfBounds,
                format!("{value} is out of bounds"),
                format!("use {} to {}", self.least, self.most),
            ),
            Err(_) => (
                FaultKind::BadValue,
                format!("{:?} is not a number", entry.value),
                "write digits, with a point before a fraction".to_owned(),
            ),
        };
        reader.fault(kind, &entry, message, &remedy);
        self.default
    }
}

pub(super) const REPEAT_RATIO: Decimal = Decimal::new("repeat_ratio", 0.2, (0.0, 10.0));
pub(super) const REPEAT_ALLOWANCE: Decimal = Decimal::new("repeat_allowance", 20.0, (0.0, 1e6));
pub(super) const REPEAT_WINDOW_S: Decimal = Decimal::new("repeat_window_s", 10.0, (1.0, 600.0));
pub(super) const COLD_FACTOR: Decimal = Decimal::new("cold_factor", 1.0, (0.1, 10.0));
pub(super) const COLD_ALLOWANCE: Decimal = Decimal::new("cold_allowance", 0.0, (0.0, 1e6));
pub(super) const PART_KEPT_S: Decimal = Decimal::new("part_kept_s", 10.0, (0.1, 3_600.0));
pub(super) const SESSION_S: Decimal = Decimal::new("session_s", 5.0, (0.1, 3_600.0));
pub(super) const GRACE_S: Decimal = Decimal::new("grace_s", 10.0, (1.0, 600.0));
pub(super) const LINK_MBPS: Decimal = Decimal::new("link_mbps", 1_000.0, (0.1, 1e6));
pub(super) const CORES: Decimal = Decimal::new("cores", 1.0, (0.01, 1e3));
