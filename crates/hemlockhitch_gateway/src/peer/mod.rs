//! Passes what the store holds from nodes that watch it to the others of their data
//! centre, so that calls of the store grow with data centres and not with nodes.

mod client;
mod loads;
mod mirror;
mod server;

pub(crate) use client::FeedClients;
pub(crate) use loads::{LoadTable, Loads};
pub(crate) use mirror::Mirror;
pub use server::serve_feed;
pub(crate) use server::write_loads;
