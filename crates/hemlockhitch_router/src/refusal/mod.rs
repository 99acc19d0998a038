//! Refusals: the final answers to requests that are not served.

mod kind;

pub use kind::RefusalKind;

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A final answer other than the one asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{message}; {remedy}")]
pub struct Refusal {
    /// The kind, which sets the code and the HTTP status.
    pub kind: RefusalKind,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// How long the caller should wait before the next try, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The request, once it has an id.
    pub request_id: Option<RequestId>,
}

/// The JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RefusalBody {
    /// A stable word for programs.
    pub code: String,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// How long the caller should wait before the next try, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request, once it has an id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
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

    /// Creates the final answer to a request that ran or may have run.
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

    /// Says when to come back.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Names the request.
    #[must_use]
    pub fn request(mut self, request_id: RequestId) -> Self {
        self.request_id = Some(request_id);
        self
    }

    /// Returns the JSON body.
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
