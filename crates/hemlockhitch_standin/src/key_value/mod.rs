//! Stand-in for the key-value service.
//!
//! ```no_run
//! use hemlockhitch_standin::key_value::{self, Faults};
//!
//! async fn lose_one_response() -> std::io::Result<()> {
//!     let service = key_value::start(([127, 0, 0, 1], 0).into()).await?;
//!     let faults = Faults { lost_answers: 1, ..Faults::default() };
//!     service.faults().set(faults);
//!     Ok(())
//! }
//! ```

mod faults;
mod service;

pub use faults::{FaultInjector, Faults};

use std::io;
use std::net::SocketAddr;

use hemlockhitch_ports::StoreCallCounts;
use hemlockhitch_ports::key_value::MemoryKeyValue;

use crate::server::Server;
use service::Service;

/// Path that accepts [`Faults`] by POST.
pub const FAULTS_PATH: &str = "/faults";

/// Path that returns the number of calls.
pub const CALLS_PATH: &str = "/calls";

/// Running key-value service; dropping it closes every connection.
#[derive(Debug)]
pub struct KeyValueStandin {
    server: Server,
    service: Service,
}

/// Starts the service with an empty store on `address`; port 0 takes a free
/// port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr) -> io::Result<KeyValueStandin> {
    start_with_store(address, MemoryKeyValue::new()).await
}

/// Starts the service with an existing store, as after a restart.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start_with_store(
    address: SocketAddr,
    store: MemoryKeyValue,
) -> io::Result<KeyValueStandin> {
    let service = Service::new(store);
    let handler = service.clone();
    let server = Server::start(address, move |request| handler.clone().handle(request)).await?;
    Ok(KeyValueStandin { server, service })
}

impl KeyValueStandin {
    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the service.
    #[must_use]
    pub fn faults(&self) -> FaultInjector {
        self.service.faults()
    }

    /// Returns the number of calls received, including failed ones.
    #[must_use]
    pub fn calls(&self) -> StoreCallCounts {
        self.service.calls()
    }

    /// Returns the store itself; access through it is not counted and has no faults.
    #[must_use]
    pub fn store(&self) -> MemoryKeyValue {
        self.service.store()
    }
}
