//! The key-value service.
//!
//! ```no_run
//! use hemlockhitch_standin::key_value::{self, Faults};
//!
//! async fn lose_one_answer() -> std::io::Result<()> {
//!     let service = key_value::start(([127, 0, 0, 1], 0).into()).await?;
//!     let faults = Faults { lost_answers: 1, ..Faults::default() };
//!     service.faults().set(faults);
//!     Ok(())
//! }
//! ```

mod faults;
mod service;

pub use faults::{FaultSwitch, Faults};

use std::io;
use std::net::SocketAddr;

use hemlockhitch_ports::StoreCallCounts;
use hemlockhitch_ports::key_value::MemoryKeyValue;

use crate::server::Server;
use service::Service;

/// The path that [`Faults`] are posted to.
pub const FAULTS_PATH: &str = "/faults";

/// The path that the number of calls is read from.
pub const CALLS_PATH: &str = "/calls";

/// A running key-value service; dropping it closes every connection.
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
    start_with(address, MemoryKeyValue::new()).await
}

/// Starts the service over a store that exists already, as after a restart.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start_with(address: SocketAddr, store: MemoryKeyValue) -> io::Result<KeyValueStandin> {
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

    /// Returns the switch for the service's faults.
    #[must_use]
    pub fn faults(&self) -> FaultSwitch {
        self.service.faults()
    }

    /// Returns the number of calls that have arrived, whatever became of them.
    #[must_use]
    pub fn calls(&self) -> StoreCallCounts {
        self.service.calls()
    }

    /// Returns the store, which shows no faults and counts no calls.
    #[must_use]
    pub fn store(&self) -> MemoryKeyValue {
        self.service.store()
    }
}
