//! Interfaces that a router depends on.

use hemlockhitch_endpoint::engine::Engine;
use hemlockhitch_endpoint::service::Service;
use hemlockhitch_ledger::Ledger;
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_peer::slots::Slots;
use thiserror::Error;

use crate::crash_tracker::CrashTracker;

/// The set of implementations that a router is generic over.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Source of the current time.
    type Clock: Clock;
    /// Client for model engines.
    type Engine: Engine;
    /// Client for plain services.
    type Service: Service;
    /// Ledger that records claims and bills.
    type Ledger: Ledger;
    /// Allocator of request slots on endpoints.
    type Slots: Slots;
    /// Counts the endpoint crashes attributed to each request.
    type CrashTracker: CrashTracker;
    /// Decides whether the node accepts new requests.
    type ServingCheck: ServingCheck;
}

/// Why the node accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum NotServingReason {
    /// No configuration has been loaded yet.
    #[error("the node has no configuration yet")]
    NoConfiguration,
    /// The node can reach neither the store nor any peer.
    #[error("the node is cut off from the store and from its peers")]
    Isolated,
    /// The node is shutting down and drains its requests.
    #[error("the node has stopped")]
    Draining,
}

/// Decides whether the node accepts new requests.
pub trait ServingCheck: Clone + Send + Sync + 'static {
    /// Checks that the node accepts new requests at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason when it accepts none.
    fn check(&self, now: Now) -> Result<(), NotServingReason>;
}

/// A serving check that always accepts new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysServing;

impl ServingCheck for AlwaysServing {
    fn check(&self, _now: Now) -> Result<(), NotServingReason> {
        Ok(())
    }
}
