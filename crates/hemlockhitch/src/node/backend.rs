//! Concrete types behind the router's traits.

use std::sync::Arc;

use hemlockhitch_endpoint::{HttpEngine, HttpService};
use hemlockhitch_ledger::{LedgerWriter, RoutedLedger};
use hemlockhitch_model::{Now, SystemClock};
use hemlockhitch_peer::ledger::PeerTransport;
use hemlockhitch_peer::{Fitness, Ownership, PeerSlots, Peers, StopReason};
use hemlockhitch_ports::key_value::HttpKeyValue;
use hemlockhitch_router::{Backend, NotServingReason, ServingCheck};

use super::crash_tracker::NoticeCrashTracker;
use super::deferred_init_ledger::DeferredInitLedger;

/// Ledger writer of the node.
pub(super) type Writer = LedgerWriter<HttpKeyValue, SystemClock, Ownership>;

/// Router backend of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeBackend;

impl Backend for NodeBackend {
    type Clock = SystemClock;
    type Engine = HttpEngine;
    type Service = HttpService;
    type Ledger = RoutedLedger<Ownership, PeerTransport, DeferredInitLedger>;
    type Slots = PeerSlots;
    type CrashTracker = NoticeCrashTracker;
    type ServingCheck = PeerServingCheck;
}

/// Serving check that accepts new requests while the node's peers report it fit to serve:
/// it has a configuration, is in contact with the store or a peer, and is not draining.
#[derive(Clone, Debug)]
pub(super) struct PeerServingCheck {
    peers: Arc<Peers>,
}

impl PeerServingCheck {
    pub(super) fn new(peers: Arc<Peers>) -> Self {
        Self { peers }
    }
}

impl ServingCheck for PeerServingCheck {
    fn check(&self, now: Now) -> Result<(), NotServingReason> {
        match self.peers.fitness(now) {
            Fitness::Serving => Ok(()),
            Fitness::SelfStopped { reason } => match reason {
                StopReason::NoConfiguration => Err(NotServingReason::NoConfiguration),
                StopReason::Isolated => Err(NotServingReason::Isolated),
                StopReason::Draining => Err(NotServingReason::Draining),
            },
        }
    }
}
