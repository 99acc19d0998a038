//! The router node.
