//! Passes requests to another node while this one can send them to no endpoint, and serves
//! those that other nodes pass.
//!
//! A request is passed once: the helper makes the attempts, within the limits that are
//! left, and its response is relayed as an endpoint's would be.

mod message;
mod send;
mod serve;

pub(super) use message::PassedRequest;
pub(super) use serve::mark_not_taken;
