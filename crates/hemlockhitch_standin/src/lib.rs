//! Stand-ins for the platform and the endpoints, for tests and the demo.
//!
//! Each stand-in can be started inside a test or run as an example in a process
//! of its own.

pub mod caller;
pub mod command_line;
pub mod engine;
pub mod key_value;
pub mod plain_service;
pub mod rating;
pub mod server;
pub mod vm_list;
pub mod weights;
