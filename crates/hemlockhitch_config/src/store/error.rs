//! Error types of the configuration store.

use hemlockhitch_ports::key_value::{KeyValueError, KeyValueErrorKind};
use thiserror::Error;

use crate::validation::RowFault;

/// Kind of a configuration store error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigStoreErrorKind {
    /// The key-value service is unavailable; nothing was written.
    Unavailable,
    /// The outcome is unknown: the change may have been written. Resubmit the same change
    /// with the same id.
    OutcomeUnknown,
    /// Too many attempts lost to concurrent writers; nothing was written.
    Contended,
    /// The requested generation is no longer retained; reload the configuration.
    TooOld,
    /// The change is malformed; nothing was written.
    Malformed,
    /// The change fails validation; nothing was written.
    Invalid(Vec<RowFault>),
    /// A stored record cannot be parsed, or the key-value service violated its protocol.
    Corrupt,
}

/// A configuration store error.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("configuration store: {detail}")]
pub struct ConfigStoreError {
    kind: ConfigStoreErrorKind,
    detail: String,
}

impl ConfigStoreError {
    pub(super) fn new(kind: ConfigStoreErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    pub(super) fn outcome_unknown(cause: &impl std::fmt::Display) -> Self {
        let detail = format!("{cause}; the change may be written, send the same change again");
        Self::new(ConfigStoreErrorKind::OutcomeUnknown, detail)
    }

    pub(super) fn unavailable(cause: &impl std::fmt::Display) -> Self {
        let detail = format!("{cause}; nothing was changed, try again later");
        Self::new(ConfigStoreErrorKind::Unavailable, detail)
    }

    pub(super) fn contended() -> Self {
        let detail = "others changed the configuration at the same time; send the change again";
        Self::new(ConfigStoreErrorKind::Contended, detail)
    }

    pub(super) fn too_old(generation: u64) -> Self {
        let detail =
            format!("generation {generation} is no longer kept; load the configuration again");
        Self::new(ConfigStoreErrorKind::TooOld, detail)
    }

    pub(super) fn malformed(detail: impl Into<String>) -> Self {
        Self::new(ConfigStoreErrorKind::Malformed, detail)
    }

    pub(super) fn invalid(faults: Vec<RowFault>) -> Self {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let detail = lines.join("\n");
        Self::new(ConfigStoreErrorKind::Invalid(faults), detail)
    }

    pub(super) fn corrupt(key: &str, cause: &impl std::fmt::Display) -> Self {
        let detail =
            format!("{key} cannot be read: {cause}; run nodes of one version, or restore the key");
        Self::new(ConfigStoreErrorKind::Corrupt, detail)
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> &ConfigStoreErrorKind {
        &self.kind
    }
}

impl From<KeyValueError> for ConfigStoreError {
    fn from(error: KeyValueError) -> Self {
        let kind = match error.kind() {
            KeyValueErrorKind::Unknown => ConfigStoreErrorKind::OutcomeUnknown,
            KeyValueErrorKind::TooLarge | KeyValueErrorKind::Protocol => {
                ConfigStoreErrorKind::Corrupt
            }
            KeyValueErrorKind::Unavailable | KeyValueErrorKind::LeaseLapsed => {
                ConfigStoreErrorKind::Unavailable
            }
        };
        Self::new(kind, error.to_string())
    }
}
