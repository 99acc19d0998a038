//! Error type of the node.

mod kind;

pub use kind::NodeErrorKind;

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Error returned when a node or gateway fails to start.
#[derive(Debug)]
#[derive(Error)]
#[error("{detail}")]
pub struct NodeError {
    kind: NodeErrorKind,
    detail: String,
}

impl NodeError {
    /// Creates an error of `kind`; `detail` is the message and should name the remedy.
    #[must_use]
    pub fn new(kind: NodeErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns which part of the start failed.
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
