//! Messages and paths of the administration API.
//!
//! | request | response |
//! |---|---|
//! | `GET /admin/v1/configuration` | [`Configuration`](crate::Configuration) |
//! | `POST /admin/v1/changes` with a [`Change`](crate::Change) | [`ChangeAnswer`]; status 409 for a conflict |
//! | `GET /admin/v1/changes/{generation}/progress` | [`Progress`] |
//! | `GET /admin/v1/history?after=N` | a list of [`NumberedChange`](crate::NumberedChange) |
//! | `GET /admin/v1/status` | [`Status`] |
//! | `GET /admin/v1/requests/{id}` | [`Explanation`] |
//! | `GET /admin/v1/deferred` | a list of [`DeferredStatus`] |
//!
//! The history is paginated, oldest first: pass the generation of the last change of a
//! page as `after` to fetch the next one. An empty page marks the end. Failed requests
//! return an [`AdminError`].

mod change;
mod error;
mod request;
mod status;

pub use change::{ChangeAnswer, Progress};
pub use error::{AdminError, AdminErrorCode};
pub use request::{DeferredState, DeferredStatus, Explanation, ExplanationStep, Stage};
pub use status::{EndpointState, EndpointStatus, NodeState, NodeStatus, Status, StoppedRollOut};

/// Path of the active configuration.
pub const CONFIGURATION_PATH: &str = "/admin/v1/configuration";

/// Path for submitting changes.
pub const CHANGES_PATH: &str = "/admin/v1/changes";

/// Path of the change history.
pub const HISTORY_PATH: &str = "/admin/v1/history";

/// Path of the status of nodes and endpoints.
pub const STATUS_PATH: &str = "/admin/v1/status";

/// Path prefix of request explanations.
pub const REQUESTS_PATH: &str = "/admin/v1/requests";

/// Path of the deferred requests.
pub const DEFERRED_PATH: &str = "/admin/v1/deferred";

/// Returns the path of the propagation progress of a generation.
#[must_use]
pub fn progress_path(generation: u64) -> String {
    format!("{CHANGES_PATH}/{generation}/progress")
}

/// Returns the path of the history page that follows a generation.
#[must_use]
pub fn history_path(after: u64) -> String {
    format!("{HISTORY_PATH}?after={after}")
}
