//! Errors of a node.

mod kind;

pub use kind::NodeErrorKind;

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// A node could not start.
#[derive(Debug)]
#[derive(Error)]
#[error("{detail}")]
pub struct NodeError {
    kind: NodeErrorKind,
    detail: String,
}

impl NodeError {
    /// Creates an error of `kind` whose message names the remedy.
    #[must_use]
    pub fn new(kind: NodeErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> NodeErrorKind {
        self.kind
    }

    pub(crate) fn listen(address: SocketAddr, error: &io::Error) -> Self {
        Self::new(
            NodeErrorKind::Listen,
            format!("cannot listen on {address}: {error}; set a free address in [listen]"),
        )
    }
}
