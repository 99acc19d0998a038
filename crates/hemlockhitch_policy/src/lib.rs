//! Routing policies as pure decision logic, without I/O.
//!
//! Callers pass in the current time, so every decision is reproducible.

pub mod admission;
pub mod cascade;
pub mod concurrency_limit;
pub mod endpoint;
pub mod guard;
pub mod retry;
pub mod version;
