//! The parts that the request path is built on.

use hemlockhitch_endpoint::engine::Engine;
use hemlockhitch_endpoint::service::Service;
use hemlockhitch_ledger::Ledger;
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_peer::slots::Slots;
use thiserror::Error;

use crate::suspect::Suspects;

/// Names the implementations that a router uses.
pub trait Backend: Clone + Send + Sync + 'static {
    /// The clock.
    type Clock: Clock;
    /// The client of model engines.
    type Engine: Engine;
    /// The client of plain services.
    type Service: Service;
    /// The ledger.
    type Ledger: Ledger;
    /// The slots of endpoints.
    type Slots: Slots;
    /// The requests that are suspected of crashing endpoints.
    type Suspects: Suspects;
    /// The check whether the node may take new work.
    type Gate: Gate;
}

/// The node takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Closed {
    /// The node has no configuration yet.
    #[error("the node has no configuration yet")]
    NoConfiguration,
    /// The node hears neither the store nor a peer.
    #[error("the node is cut off from the store and from its peers")]
    CutOff,
    /// The node has stopped.
    #[error("the node has stopped")]
    Draining,
}

/// Decides whether the node may take new work.
pub trait Gate: Clone + Send + Sync + 'static {
    /// Checks that the node may take new work at `now`.
    ///
    /// # Errors
    ///
    /// Fails with the reason when it may not.
    fn check(&self, now: Now) -> Result<(), Closed>;
}

/// A gate that never closes.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysOpen;

impl Gate for AlwaysOpen {
    fn check(&self, _now: Now) -> Result<(), Closed> {
        Ok(())
    }
}
