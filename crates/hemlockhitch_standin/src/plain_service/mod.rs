//! Stand-in for a plain service.
//!
//! It responds to any method and path with a sequence number. `POST /faults` takes a
//! [`PlainServiceFault`] as JSON and `GET /stats` returns [`PlainServiceStats`].

mod serve;
mod state;

pub use state::{CallRecord, PlainServiceAnswer, PlainServiceFault, PlainServiceStats};

use std::io;
use std::net::SocketAddr;

use crate::server::Server;
use state::Shared;

/// Running plain service; dropping it closes every connection.
#[derive(Debug)]
pub struct PlainServiceStandin {
    server: Server,
    shared: Shared,
}

/// Injects faults into a running plain service; clones act on the same service.
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

    /// Returns the fault injector of the service.
    #[must_use]
    pub fn faults(&self) -> PlainServiceFaults {
        PlainServiceFaults {
            shared: self.shared.clone(),
        }
    }

    /// Returns a copy of the service's counters.
    #[must_use]
    pub fn stats(&self) -> PlainServiceStats {
        self.shared.lock().stats.clone()
    }
}

impl PlainServiceFaults {
    /// Sets a fault; it takes effect immediately.
    pub fn set(&self, fault: PlainServiceFault) {
        self.shared.lock().set_fault(fault);
    }
}
