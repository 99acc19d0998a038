//! Calls of plain services.

use std::future::Future;

use bytes::Bytes;
use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// The request's id.
    pub request_id: RequestId,
    /// HTTP method, in capitals.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Content type of the body, if there is one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if there is one.
    pub content_type: Option<String>,
    /// The body, as text.
    pub body: String,
}

/// A call failed.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ServiceError {
    /// The call cannot be written as HTTP: it certainly did not run.
    #[error("call is not valid: {detail}; correct its method, path or content type")]
    Invalid {
        /// What is not valid.
        detail: String,
    },
    /// No connection was made: the call certainly did not run.
    #[error("service endpoint {address} cannot be reached: {detail}; try another endpoint")]
    Unreachable {
        /// The endpoint's address.
        address: String,
        /// What went wrong.
        detail: String,
    },
    /// The connection broke after the call was sent: it may have run.
    #[error("service endpoint {address} broke off: {detail}; the call may have run")]
    Broken {
        /// The endpoint's address.
        address: String,
        /// What went wrong.
        detail: String,
    },
}

impl ServiceError {
    /// Returns whether the call certainly did not run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        match self {
            Self::Invalid { .. } | Self::Unreachable { .. } => true,
            Self::Broken { .. } => false,
        }
    }
}

/// A client of plain services.
pub trait Service: Clone + Send + Sync + 'static {
    /// Calls the endpoint at `address`, written `ip:port`.
    fn call(
        &self,
        address: &str,
        request: ServiceRequest,
    ) -> impl Future<Output = Result<ServiceAnswer, ServiceError>> + Send;
}
