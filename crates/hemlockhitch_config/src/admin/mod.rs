//! Messages of the administration API.
//!
//! | request | answer |
//! |---|---|
//! | `GET /admin/v1/configuration` | [`Configuration`](crate::Configuration) |
//! | `POST /admin/v1/changes` with a [`Change`](crate::Change) | [`ChangeAnswer`]; status 409 for a conflict |
//! | `GET /admin/v1/changes/{generation}/progress` | [`Progress`] |
//! | `GET /admin/v1/history?after=N` | a list of [`NumberedChange`](crate::NumberedChange) |
//! | `GET /admin/v1/status` | [`Status`] |
//! | `GET /admin/v1/requests/{id}` | [`Explanation`] |
//! | `GET /admin/v1/deferred` | a list of [`DeferredStatus`] |
//!
//! The history comes in pieces, oldest first: ask again after the last change of a
//! piece; an empty piece is the end. Every other answer is an [`AdminError`].

mod change;
mod error;
mod request;
mod status;

pub use change::{ChangeAnswer, Progress};
pub use error::{AdminError, AdminErrorCode};
pub use request::{DeferredState, DeferredStatus, Explanation, ExplanationStep, Stage};
pub use status::{EndpointState, EndpointStatus, NodeState, NodeStatus, Status, StoppedRollOut};

/// Path of the configuration in force.
pub const CONFIGURATION_PATH: &str = "/admin/v1/configuration";

/// Path that takes changes.
pub const CHANGES_PATH: &str = "/admin/v1/changes";

/// Path of the changes made so far.
pub const HISTORY_PATH: &str = "/admin/v1/history";

/// Path of the state of the nodes and endpoints.
pub const STATUS_PATH: &str = "/admin/v1/status";

/// Path below which each request is explained.
pub const REQUESTS_PATH: &str = "/admin/v1/requests";

/// Path of the deferred requests.
pub const DEFERRED_PATH: &str = "/admin/v1/deferred";

/// Returns the path of the progress of a generation.
#[must_use]
pub fn progress_path(generation: u64) -> String {
    format!("{CHANGES_PATH}/{generation}/progress")
}

/// Returns the path of the history after a generation.
#[must_use]
pub fn history_path(after: u64) -> String {
    format!("{HISTORY_PATH}?after={after}")
}
