//! Error responses of the administration API.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::store::{ConfigStoreError, ConfigStoreErrorKind};

/// Machine-readable reason for an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminErrorCode {
    /// The request body is malformed or fails validation.
    BadRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The token does not permit the operation.
    Forbidden,
    /// The requested resource does not exist or is no longer retained.
    NotFound,
    /// The request exceeds the size limit of the node.
    TooLarge,
    /// The key-value service is unavailable; nothing was written.
    StoreUnavailable,
    /// The response of the key-value service was lost, so the change may have been
    /// written. Resending the same change with the same id is safe.
    OutcomeUnknown,
    /// Internal error of the node.
    Internal,
}

/// An error response of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(Error)]
#[error("{message}; {remedy}")]
#[serde(deny_unknown_fields)]
pub struct AdminError {
    /// Machine-readable reason.
    pub code: AdminErrorCode,
    /// Description of the error.
    pub message: String,
    /// Suggested corrective action for the operator.
    pub remedy: String,
}

impl AdminError {
    /// Creates an error response.
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
            ConfigStoreErrorKind::OutcomeUnknown => (
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
