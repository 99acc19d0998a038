//! Router node: wires the workspace crates into one process.
//!
//! [`Node::start`] starts a node and [`Node::stop`] shuts it down gracefully:
//! requests in flight may finish within the drain timeout.

pub mod command_line;
mod error;
mod gateway;
mod logging;
mod metrics_page;
mod node;

pub use error::{NodeError, NodeErrorKind};
pub use gateway::GatewayNode;
pub use logging::{LogGuard, init_logging};
pub use node::{Addresses, Node};
