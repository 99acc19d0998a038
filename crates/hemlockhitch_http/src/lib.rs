//! HTTP servers of the callers' API and the administration API.

pub mod admin;
pub mod callers;
pub mod server;
