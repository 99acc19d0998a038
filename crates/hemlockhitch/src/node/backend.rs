//! The implementations that the node's router uses.

use std::sync::Arc;

use hemlockhitch_endpoint::{HttpEngine, HttpService};
use hemlockhitch_ledger::{LedgerWriter, RoutedLedger};
use hemlockhitch_model::{Now, SystemClock};
use hemlockhitch_peer::ledger::PeerTransport;
use hemlockhitch_peer::{Fitness, Ownership, PeerSlots, Peers, StopReason};
use hemlockhitch_ports::key_value::HttpKeyValue;
use hemlockhitch_router::{Backend, Closed, Gate};

use super::crash_tracker::NoticeSuspects;
use super::deferred_init_ledger::LateLedger;

/// The node's writer of the ledger.
pub(super) type Writer = LedgerWriter<HttpKeyValue, SystemClock, Ownership>;

/// The parts of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeBackend;

impl Backend for NodeBackend {
    type Clock = SystemClock;
    type Engine = HttpEngine;
    type Service = HttpService;
    type Ledger = RoutedLedger<Ownership, PeerTransport, LateLedger>;
    type Slots = PeerSlots;
    type Suspects = NoticeSuspects;
    type Gate = PeerGate;
}

/// Lets work in while the node hears the store or a peer.
#[derive(Clone, Debug)]
pub(super) struct PeerGate {
    peers: Arc<Peers>,
}

impl PeerGate {
    pub(super) fn new(peers: Arc<Peers>) -> Self {
        Self { peers }
    }
}

impl Gate for PeerGate {
    fn check(&self, now: Now) -> Result<(), Closed> {
        match self.peers.fitness(now) {
            Fitness::Serving => Ok(()),
            Fitness::SelfStopped { reason } => match reason {
                StopReason::NoConfiguration => Err(Closed::NoConfiguration),
                StopReason::CutOff => Err(Closed::CutOff),
                StopReason::Draining => Err(Closed::Draining),
            },
        }
    }
}
