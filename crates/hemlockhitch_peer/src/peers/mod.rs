//! The peer protocol of one node.

mod builder;
mod counted_stream;
mod listen;
mod server;

pub use builder::PeersBuilder;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use hemlockhitch_config::NumberedChange;
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::error::{PeerError, PeerErrorKind};
use crate::exchange::exchange_with;
use crate::feed::{ConfigurationFeed, ConfigurationSync};
use crate::fitness::Fitness;
use crate::ledger::PeerTransport;
use crate::member::{InForce, Member, MemberState};
use crate::notice::{Notice, Notices};
use crate::ownership::{Ownership, hand_over_all};
use crate::shared::Shared;
use crate::slots::PeerSlots;
use crate::traffic::ControlBytes;
use crate::wire;

/// Maximum number of rounds in which a draining node hands over its buckets.
const MAX_DRAIN_ROUNDS: u32 = 10;

/// Interval between two rounds of hand-overs.
const DRAIN_ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Number of peers to which a stopping node announces that it leaves.
const LEAVE_FANOUT: usize = 6;

/// Maximum number of rounds in which the lagging members are asked to confirm a
/// submitted change.
const MAX_CONFIRM_ROUNDS: u32 = 40;

/// Interval between two rounds of confirmation.
const CONFIRM_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of members called in one round of confirmation.
const CONFIRM_FANOUT: usize = 32;

/// A running node of the peer protocol. Dropping it stops the node without a
/// hand-over.
///
/// ```no_run
/// # use hemlockhitch_ledger::call::LedgerService;
/// # use hemlockhitch_model::SystemClock;
/// # use hemlockhitch_peer::feed::ConfigurationSource;
/// # use hemlockhitch_peer::{PeerError, Peers};
/// # use hemlockhitch_ports::{key_value::KeyValue, vm_list::VmList};
/// # async fn start(
/// #     store: impl KeyValue,
/// #     vm_list: impl VmList,
/// #     source: impl ConfigurationSource,
/// #     ledger: impl LedgerService,
/// # ) -> Result<(), PeerError> {
/// let peers = Peers::builder()
///     .node("vm-1")
///     .data_centre("em-a")
///     .start(store, vm_list, source, ledger, SystemClock::new())
///     .await?;
/// println!("peers call {}", peers.address());
/// peers.drain().await?;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    sync: ConfigurationSync,
    slots: PeerSlots,
    address: String,
    submitted: mpsc::UnboundedSender<u64>,
    drain: Mutex<Option<oneshot::Sender<DrainRequest>>>,
}

/// Request to drain the node, answered once it has drained.
type DrainRequest = oneshot::Sender<()>;

impl Peers {
    /// Returns a builder with default settings.
    #[must_use]
    pub fn builder() -> PeersBuilder {
        PeersBuilder::new()
    }

    /// Returns the address that peers call, `ip:port`.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the feed of the configuration in force.
    #[must_use]
    pub fn feed(&self) -> ConfigurationFeed {
        self.shared.feed.clone()
    }

    /// Returns the members that the node knows, including itself, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.shared.members().iter().cloned().collect();
        members.sort_by(|left, right| left.identity.name.cmp(&right.identity.name));
        members
    }

    /// Returns this node's view of bucket ownership.
    #[must_use]
    pub fn ownership(&self) -> Ownership {
        self.shared.ownership.clone()
    }

    /// Returns the slot allocator.
    #[must_use]
    pub fn slots(&self) -> PeerSlots {
        self.slots.clone()
    }

    /// Returns the notices that this node has stored.
    #[must_use]
    pub fn notices(&self) -> Notices {
        self.shared.notices.clone()
    }

    /// Returns the transport of ledger calls.
    #[must_use]
    pub fn transport(&self) -> PeerTransport {
        PeerTransport::new(self.shared.clone())
    }

    /// Returns whether the node may accept new requests at `now`.
    #[must_use]
    pub fn fitness(&self, now: Now) -> Fitness {
        self.shared.fitness(now)
    }

    /// Returns which members have a generation in force.
    #[must_use]
    pub fn in_force(&self, generation: u64, now: Now) -> InForce {
        self.shared.members().in_force(generation, now)
    }

    /// Returns the counters of the traffic with peers.
    #[must_use]
    pub fn control_bytes(&self) -> ControlBytes {
        self.shared.traffic.snapshot()
    }

    /// Applies a change that an operator submitted through this node, and pushes it to
    /// peers at once.
    pub fn submitted(&self, change: NumberedChange) {
        let generation = change.generation;
        self.sync.apply_changes(vec![change]);
        // Sending fails only after the node has stopped.
        let _ = self.submitted.send(generation);
    }

    /// Sends a notice to every node that is alive, and returns once they have it
    /// or the call timeout has passed.
    ///
    /// # Errors
    ///
    /// Fails when a text of the notice is too long.
    pub async fn publish_notice(&self, notice: Notice, now: Now) -> Result<(), PeerError> {
        self.shared.notices.post(notice.clone(), now)?;
        let request = wire::PostRequest {
            notices: vec![notice.to_wire()],
        };
        let members = self.members();
        let others = members
            .iter()
            .filter(|member| member.is_alive() && member.id() != self.shared.own_id);
        let calls = others.map(|member| {
            let address = &member.identity.address;
            self.shared.clients.post(address, request.clone())
        });
        // A peer that misses the notice receives it by gossip.
        let _ = join_all(calls).await;
        Ok(())
    }

    /// Hands over the buckets of the node, notifies peers that it leaves, and stops it.
    ///
    /// # Errors
    ///
    /// Fails when the node has already been drained.
    pub async fn drain(&self) -> Result<(), PeerError> {
        let sender = self
            .drain
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let stopped = || PeerError::new(PeerErrorKind::Stopped, "already drained");
        let (done, drained) = oneshot::channel();
        let sender = sender.ok_or_else(stopped)?;
        sender.send(done).map_err(|_| stopped())?;
        drained.await.map_err(|_| stopped())?;
        self.shared.stop();
        Ok(())
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

/// Exchanges digests with the members that lag behind a submitted generation, until
/// all have the newest one or the rounds are used up.
async fn confirm<C: Clock>(
    shared: Arc<Shared>,
    sync: ConfigurationSync,
    mut submitted: mpsc::UnboundedReceiver<u64>,
    clock: C,
) {
    while let Some(mut generation) = submitted.recv().await {
        for _ in 0..MAX_CONFIRM_ROUNDS {
            while let Ok(later) = submitted.try_recv() {
                generation = generation.max(later);
            }
            let waiting = shared.members().lagging(generation, CONFIRM_FANOUT);
            if waiting.is_empty() {
                break;
            }
            for (id, address) in waiting {
                let (node, sync, clock) = (shared.clone(), sync.clone(), clock.clone());
                shared.spawn(async move {
                    // A member that does not answer is called again in the next round.
                    let _ = exchange_with(&node, &sync, id, &address, &clock).await;
                });
            }
            sleep(CONFIRM_ROUND_INTERVAL).await;
        }
    }
}

/// Waits for a drain request, then drains the node.
async fn drain<K: KeyValue, C: Clock>(
    shared: Arc<Shared>,
    sync: ConfigurationSync,
    store: K,
    request: oneshot::Receiver<DrainRequest>,
    clock: C,
) {
    let Ok(done) = request.await else {
        return;
    };
    shared.members().set_own_state(MemberState::Draining);
    for _ in 0..MAX_DRAIN_ROUNDS {
        hand_over_all(&shared, &store, &clock).await;
        if shared.ownership.lock().held.is_empty() {
            break;
        }
        sleep(DRAIN_ROUND_INTERVAL).await;
    }
    revoke_lease(&shared, &store).await;
    shared.members().set_own_state(MemberState::Gone);
    let targets = shared.members().random_targets(LEAVE_FANOUT);
    for (id, address) in targets {
        // Other peers learn of the shutdown by gossip or by a failed call.
        let _ = exchange_with(&shared, &sync, id, &address, &clock).await;
    }
    // The caller of `Peers::drain` may have stopped waiting.
    let _ = done.send(());
}

async fn revoke_lease<K: KeyValue>(shared: &Shared, store: &K) {
    let lease = {
        let mut state = shared.ownership.lock();
        state.held.clear();
        state.lease.take()
    };
    let Some(lease) = lease else {
        return;
    };
    let store_timeout = Duration::from_millis(shared.settings.store_timeout_ms);
    // If the call fails, the lease expires.
    let _ = timeout(store_timeout, store.lease_revoke(lease.id)).await;
}
