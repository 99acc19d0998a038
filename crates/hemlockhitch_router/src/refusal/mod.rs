//! Refusals: the error responses to requests that are not served.

mod kind;

pub use kind::RefusalKind;

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error response to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{message}; {remedy}")]
pub struct Refusal {
    /// Determines the code and the HTTP status.
    pub kind: RefusalKind,
    /// Description of the cause.
    pub message: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// `true` only if the request is known not to have run.
    pub not_run: bool,
    /// Time after which the caller may retry, in milliseconds (Retry-After).
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if one was assigned.
    pub request_id: Option<RequestId>,
}

/// The JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RefusalBody {
    /// Stable, machine-readable code of the kind.
    pub code: String,
    /// Description of the cause.
    pub message: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// `true` only if the request is known not to have run.
    pub not_run: bool,
    /// Time after which the caller may retry, in milliseconds (Retry-After).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

impl Refusal {
    /// Creates a refusal of a request that is known not to have run.
    #[must_use]
    pub fn not_run(
        kind: RefusalKind,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            message: message.into(),
            remedy: remedy.into(),
            not_run: true,
            retry_after_ms: None,
            request_id: None,
        }
    }

    /// Creates a refusal of a request that has run or may have run.
    #[must_use]
    pub fn may_have_run(
        kind: RefusalKind,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(kind, message, remedy)
        }
    }

    /// Sets the time after which the caller may retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn request(mut self, request_id: RequestId) -> Self {
        self.request_id = Some(request_id);
        self
    }

    /// Returns the body of the HTTP response.
    #[must_use]
    pub fn body(&self) -> RefusalBody {
        RefusalBody {
            code: self.kind.code().to_owned(),
            message: self.message.clone(),
            remedy: self.remedy.clone(),
            not_run: self.not_run,
            retry_after_ms: self.retry_after_ms,
            request_id: self.request_id,
        }
    }
}
