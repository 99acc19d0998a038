//! A plain service.
//!
//! It answers any method and path with a running number. `POST /faults` takes a
//! [`PlainServiceFault`] as JSON and `GET /stats` returns [`PlainServiceStats`].

mod serve;
mod state;

pub use state::{PlainServiceAnswer, PlainServiceFault, PlainServiceStats, RanCall};

use std::io;
use std::net::SocketAddr;

use crate::server::Server;
use state::Shared;

/// A running plain service; dropping it closes every connection.
#[derive(Debug)]
pub struct PlainServiceStandin {
    server: Server,
    shared: Shared,
}

/// Sets the faults of a running plain service.
#[derive(Clone, Debug)]
pub struct PlainServiceFaults {
    shared: Shared,
}

/// Starts a plain service on `address`; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr) -> io::Result<PlainServiceStandin> {
    let shared = Shared::default();
    let state = shared.clone();
    let server = Server::start(address, move |request| {
        serve::handle(state.clone(), request)
    })
    .await?;
    Ok(PlainServiceStandin { server, shared })
}

impl PlainServiceStandin {
    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switches of the service's faults.
    #[must_use]
    pub fn faults(&self) -> PlainServiceFaults {
        PlainServiceFaults {
            shared: self.shared.clone(),
        }
    }

    /// Returns what ran so far.
    #[must_use]
    pub fn stats(&self) -> PlainServiceStats {
        self.shared.lock().stats.clone()
    }
}

impl PlainServiceFaults {
    /// Sets a fault, at once.
    pub fn set(&self, fault: PlainServiceFault) {
        self.shared.lock().set_fault(fault);
    }
}
