//! Definitions of decimal settings: keys, defaults and bounds.

use super::fault::FaultKind;
use super::reader::Reader;

/// Definition of a decimal setting; the suffix of its key is its unit.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecimalSetting {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    pub(super) default: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

impl DecimalSetting {
    const fn new(key: &'static str, default: f64, (min, max): (f64, f64)) -> Self {
        Self {
            section: "gateway",
            key,
            default,
            min,
            max,
        }
    }

    /// Reads the setting. Returns the default if it is absent or invalid, and reports a
    /// fault for an invalid value.
    pub(super) fn read(&self, reader: &mut Reader) -> f64 {
        let Some(entry) = reader.take(self.section, self.key) else {
            return self.default;
        };
        let (kind, message, remedy) = match entry.value.parse::<f64>() {
            Ok(value) if (self.min..=self.max).contains(&value) => return value,
            Ok(value) => (
                FaultKind::OutOfBounds,
                format!("{value} is out of bounds"),
                format!("use {} to {}", self.min, self.max),
            ),
            Err(_) => (
                FaultKind::BadValue,
                format!("{:?} is not a number", entry.value),
                "write digits, with a point before a fraction".to_owned(),
            ),
        };
        reader.add_entry_fault(kind, &entry, message, &remedy);
        self.default
    }
}

pub(super) const REPEAT_RATIO: DecimalSetting =
    DecimalSetting::new("repeat_ratio", 0.2, (0.0, 10.0));
pub(super) const REPEAT_ALLOWANCE: DecimalSetting =
    DecimalSetting::new("repeat_allowance", 20.0, (0.0, 1e6));
pub(super) const REPEAT_WINDOW_S: DecimalSetting =
    DecimalSetting::new("repeat_window_s", 10.0, (1.0, 600.0));
pub(super) const COLD_FACTOR: DecimalSetting = DecimalSetting::new("cold_factor", 1.0, (0.1, 10.0));
pub(super) const COLD_ALLOWANCE: DecimalSetting =
    DecimalSetting::new("cold_allowance", 0.0, (0.0, 1e6));
pub(super) const EXPOSURE_SHARE: DecimalSetting =
    DecimalSetting::new("exposure_share", 0.15, (0.02, 1.0));
pub(super) const MAX_PAUSE_S: DecimalSetting =
    DecimalSetting::new("max_pause_s", 60.0, (0.1, 3_600.0));
pub(super) const PROBES_PER_S: DecimalSetting =
    DecimalSetting::new("probes_per_s", 0.0, (0.0, 50.0));
pub(super) const PART_KEPT_S: DecimalSetting =
    DecimalSetting::new("part_kept_s", 10.0, (0.1, 3_600.0));
pub(super) const SESSION_S: DecimalSetting = DecimalSetting::new("session_s", 5.0, (0.1, 3_600.0));
pub(super) const GRACE_S: DecimalSetting = DecimalSetting::new("grace_s", 10.0, (1.0, 600.0));
pub(super) const LINK_MBPS: DecimalSetting = DecimalSetting::new("link_mbps", 1_000.0, (0.1, 1e6));
pub(super) const CORES: DecimalSetting = DecimalSetting::new("cores", 1.0, (0.01, 1e3));
pub(super) const MODEL_PRICE: DecimalSetting = DecimalSetting::new("model_price", 0.12, (0.0, 1.0));
