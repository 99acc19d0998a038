//! Stand-in for a language model engine.
//!
//! It serves `POST /v1/chat/completions` (streamed only), `GET /load`,
//! `POST /orders`, `POST /cancel/{request_id}`, `POST /kv/export/{request_id}`
//! and `POST /kv/import`. `POST /faults` takes an [`EngineFault`] as JSON and
//! `GET /stats` returns [`EngineStats`].

mod answer_text;
mod faults;
mod generation;
mod load_history;
mod prefix_cache;
mod serve;
mod settings;
mod state;
mod stats;

pub use answer_text::{expected_answer, prompt_text};
pub use faults::EngineFault;
pub use settings::EngineSettings;
pub use stats::EngineStats;

use std::io;
use std::net::SocketAddr;

use crate::server::Server;
use state::Shared;

/// Running engine; dropping it closes every connection.
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    shared: Shared,
}

/// Injects faults into a running engine; clones act on the same engine.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    shared: Shared,
}

/// Starts an engine on `address`; port 0 takes a free port.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<EngineStandin> {
    let shared = Shared::new(settings);
    let state = shared.clone();
    let server = Server::start(address, move |request| {
        serve::handle(state.clone(), request)
    })
    .await?;
    Ok(EngineStandin { server, shared })
}

impl EngineStandin {
    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the fault injector of the engine.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        EngineFaults {
            shared: self.shared.clone(),
        }
    }

    /// Returns a copy of the engine's counters.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.shared.lock().stats.clone()
    }
}

impl EngineFaults {
    /// Sets a fault; it takes effect immediately.
    pub fn set(&self, fault: EngineFault) {
        self.shared.set_fault(fault);
    }
}
