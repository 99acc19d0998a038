//! Request path of a node.
//!
//! The listener accepts requests of any method and body. Each is admitted, sent to an
//! endpoint that the policies of `hemlockhitch_routing` choose, and its response is
//! relayed as a whole or event by event. A [`Dialect`] translates the headers and
//! stored values of the platform that endpoints and operators use; this package
//! contains none of its names.

mod attempt;
mod connection;
mod controller;
mod dialect;
mod events;
mod feed;
mod gossip;
mod listener;
mod membership;
mod memory;
mod peer;
mod settings;
mod state;
mod telemetry;

/// Messages of the feed between nodes, generated from `proto/feed.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic, unused_qualifications)]
#[path = "gen/hemlockhitch.feed.rs"]
#[rustfmt::skip]
mod wire;

pub use attempt::{Gateway, ResponseBody};
pub use controller::run_roll_out_controller;
pub use dialect::{
    Dialect, RequestMetadata, ResponseMetadata, StoredValue, Subject, UnreadableValue,
    UpstreamMetadata,
};
pub use feed::follow_store;
pub use gossip::exchange_facts;
pub use listener::{Drain, Listener, Readiness, serve_readiness};
pub use membership::register_node;
pub use peer::{Applied, Mirror, serve_peers};
pub use settings::GatewaySettings;
pub use state::{NodeContext, State};
pub use telemetry::report_gauges;
