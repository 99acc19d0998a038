//! Errors of the administration API.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::store::{ConfigStoreError, ConfigStoreErrorKind};

/// The kinds of refusal of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorCode {
    /// The message cannot be read, or breaks a rule.
    BadRequest,
    /// No token, or one that the node does not know.
    Unauthorized,
    /// The token does not permit the act.
    Forbidden,
    /// The thing asked for does not exist or was forgotten.
    NotFound,
    /// The message is larger than the node takes.
    TooLarge,
    /// The key-value service does not answer: nothing was written.
    StoreUnavailable,
    /// The answer of the key-value service was lost: the change may have been
    /// written. The same change may be sent again, with the same id.
    OutcomeUnknown,
    /// The node failed.
    Internal,
}

/// A refusal of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Error)]
#[error("{message}; {remedy}")]
#[serde(deny_unknown_fields)]
pub struct AdminError {
    /// The kind of the refusal.
    pub code: AdminErrorCode,
    /// What went wrong.
    pub message: String,
    /// What the operator can do about it.
    pub remedy: String,
}

impl AdminError {
    /// Creates a refusal.
    #[must_use]
    pub fn new(
        code: AdminErrorCode,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            code,
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl From<ConfigStoreError> for AdminError {
    fn from(error: ConfigStoreError) -> Self {
        let (code, remedy) = match error.kind() {
            ConfigStoreErrorKind::Unavailable => (
                AdminErrorCode::StoreUnavailable,
                "nothing was written; try again later",
            ),
            ConfigStoreErrorKind::Unknown => (
                AdminErrorCode::OutcomeUnknown,
                "send the same change again, with the same id",
            ),
            ConfigStoreErrorKind::Contended => (
                AdminErrorCode::StoreUnavailable,
                "nothing was written; send the change again",
            ),
            ConfigStoreErrorKind::TooOld => (
                AdminErrorCode::NotFound,
                "read the configuration again and start from there",
            ),
            ConfigStoreErrorKind::Malformed | ConfigStoreErrorKind::Invalid(_) => (
                AdminErrorCode::BadRequest,
                "nothing was written; correct the change",
            ),
            ConfigStoreErrorKind::Corrupt => (
                AdminErrorCode::Internal,
                "look for event HH0405 in the node's log",
            ),
        };
        Self::new(code, error.to_string(), remedy)
    }
}
