//! Passes the store's content from the node that watches it to the others, so that store
//! calls do not grow with the number of nodes.

mod client;
mod counted_stream;
mod demand;
mod loads;
mod mirror;
mod server;

pub(crate) use client::{FeedClients, PeerChannels};
pub(crate) use demand::{demand_from_wire, demand_to_wire};
pub(crate) use loads::{EndpointLoads, LoadTable};
pub use mirror::{Applied, Mirror};
pub(crate) use server::loads_to_wire;
pub use server::serve_peers;
