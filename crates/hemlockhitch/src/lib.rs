//! The router node: wiring of the packages into one process.
//!
//! [`Node::start`] brings a node up and [`Node::stop`] takes it down without
//! cutting a request.

pub mod command_line;
mod error;
mod gateway;
mod logging;
mod metrics_page;
mod node;

pub use error::{NodeError, NodeErrorKind};
pub use gateway::GatewayNode;
pub use logging::{LogGuard, start_log};
pub use node::{Addresses, Node};
