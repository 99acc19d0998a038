//! Passes the store's content from the nodes that watch it to the other nodes of their
//! data centre, so that store calls grow with the number of data centres and not of
//! nodes.

mod client;
mod loads;
mod mirror;
mod server;

pub(crate) use client::FeedClients;
pub(crate) use loads::{EndpointLoads, LoadTable};
pub(crate) use mirror::Mirror;
pub(crate) use server::loads_to_wire;
pub use server::serve_feed;
