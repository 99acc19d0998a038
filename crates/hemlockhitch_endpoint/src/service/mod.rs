//! Client interface of plain services.

use std::future::Future;

use bytes::Bytes;
use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// ID of the request, sent along in a header.
    pub request_id: RequestId,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Value of the Content-Type header, if it is sent.
    pub content_type: Option<String>,
    /// Body of the request; may be empty.
    pub body: Bytes,
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the Content-Type header, if it was sent.
    pub content_type: Option<String>,
    /// Body of the response, which must be UTF-8.
    pub body: String,
}

/// Error returned when a call to a plain service fails.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum ServiceError {
    /// The call does not form a valid HTTP request; it was not sent.
    #[error("call is not valid: {detail}; correct its method, path or content type")]
    Invalid {
        /// Which part of the call is invalid.
        detail: String,
    },
    /// No connection was established, so the call did not run.
    #[error("service endpoint {address} is unreachable: {detail}; try another endpoint")]
    Unreachable {
        /// Address of the endpoint, `ip:port`.
        address: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The call was sent but no valid response arrived in time; it may have run.
    #[error("call to service endpoint {address} was interrupted: {detail}; the call may have run")]
    Broken {
        /// Address of the endpoint, `ip:port`.
        address: String,
        /// Cause of the failure.
        detail: String,
    },
}

impl ServiceError {
    /// Returns whether the call is known not to have run.
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
    /// Sends a call to the endpoint at `address`, written `ip:port`.
    fn call(
        &self,
        address: &str,
        request: ServiceRequest,
    ) -> impl Future<Output = Result<ServiceAnswer, ServiceError>> + Send;
}
