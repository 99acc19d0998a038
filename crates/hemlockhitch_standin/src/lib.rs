//! Stand-ins for the platform services and the endpoints, for tests and the demo.
//!
//! Each stand-in can run inside a test, or as an example in a separate process.

pub mod caller;
pub mod command_line;
pub mod engine;
pub mod key_value;
pub mod plain_service;
pub mod rating;
pub mod server;
pub mod vm_list;
pub mod weights;
