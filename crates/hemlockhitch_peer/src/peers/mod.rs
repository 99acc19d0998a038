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
use crate::feed::{ConfigurationFeed, Spread};
use crate::fitness::Fitness;
use crate::ledger::PeerTransport;
use crate::member::{InForce, Member, MemberState};
use crate::notice::{Notice, Notices};
use crate::ownership::{Ownership, hand_over_all};
use crate::shared::Shared;
use crate::slots::PeerSlots;
use crate::traffic::ControlBytes;
use crate::wire;

/// Rounds in which a draining node tries to hand its buckets over.
const DRAIN_ROUNDS: u32 = 10;

/// The pause between two such rounds.
const DRAIN_PAUSE: Duration = Duration::from_millis(200);

/// Peers that a stopping node tells that it is gone.
const FAREWELL_FANOUT: usize = 6;

/// Rounds in which a submitted change is confirmed with its waiting members.
const CONFIRM_ROUNDS: u32 = 40;

/// The pause between two such rounds.
const CONFIRM_PAUSE: Duration = Duration::from_millis(250);

/// Members that are asked at once for their generation.
const CONFIRM_FANOUT: usize = 32;

/// A node among its peers; dropping it stops the node without a hand-over.
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
    spread: Spread,
    slots: PeerSlots,
    address: String,
    submitted: mpsc::UnboundedSender<u64>,
    drain: Mutex<Option<oneshot::Sender<DrainRequest>>>,
}

/// Asks the node to drain; answered when it has.
type DrainRequest = oneshot::Sender<()>;

impl Peers {
    /// Starts to build a node.
    #[must_use]
    pub fn builder() -> PeersBuilder {
        PeersBuilder::new()
    }

    /// Returns the address that peers call, `ip:port`.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn feed(&self) -> ConfigurationFeed {
        self.shared.feed.clone()
    }

    /// Lists the members that the node knows, itself included, by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.shared.members().iter().cloned().collect();
        members.sort_by(|left, right| left.identity.name.cmp(&right.identity.name));
        members
    }

    /// Returns the owners of buckets.
    #[must_use]
    pub fn ownership(&self) -> Ownership {
        self.shared.ownership.clone()
    }

    /// Returns the slots of endpoints.
    #[must_use]
    pub fn slots(&self) -> PeerSlots {
        self.slots.clone()
    }

    /// Returns the notices of the fleet.
    #[must_use]
    pub fn notices(&self) -> Notices {
        self.shared.notices.clone()
    }

    /// Returns the transport of the ledger's calls.
    #[must_use]
    pub fn transport(&self) -> PeerTransport {
        PeerTransport::new(self.shared.clone())
    }

    /// Says whether the node may take new work at `now`.
    #[must_use]
    pub fn fitness(&self, now: Now) -> Fitness {
        self.shared.fitness(now)
    }

    /// Says which members have a generation in force.
    #[must_use]
    pub fn in_force(&self, generation: u64, now: Now) -> InForce {
        self.shared.members().in_force(generation, now)
    }

    /// Returns what the node sent and received for control.
    #[must_use]
    pub fn control_bytes(&self) -> ControlBytes {
        self.shared.traffic.read()
    }

    /// Puts a change in force that an operator submitted through this node, and
    /// tells its peers at once.
    pub fn submitted(&self, change: NumberedChange) {
        let generation = change.generation;
        self.spread.take_changes(vec![change]);
        // A node that has stopped confirms nothing.
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
        // A peer that missed it learns of it from an exchange.
        let _ = join_all(calls).await;
        Ok(())
    }

    /// Hands over what the node owns, tells its peers that it goes, and stops.
    ///
    /// # Errors
    ///
    /// Fails when the node was drained before.
    pub async fn drain(&self) -> Result<(), PeerError> {
        let sender = self
            .drain
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let stopped = || PeerError::new(PeerErrorKind::Stopped, "drained before");
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

/// Exchanges with the members that lack a submitted generation until all have
/// the newest one.
async fn confirm<C: Clock>(
    shared: Arc<Shared>,
    spread: Spread,
    mut submitted: mpsc::UnboundedReceiver<u64>,
    clock: C,
) {
    while let Some(mut generation) = submitted.recv().await {
        for _ in 0..CONFIRM_ROUNDS {
            while let Ok(later) = submitted.try_recv() {
                generation = generation.max(later);
            }
            let waiting = shared.members().lagging(generation, CONFIRM_FANOUT);
            if waiting.is_empty() {
                break;
            }
            for (id, address) in waiting {
                let (node, spread, clock) = (shared.clone(), spread.clone(), clock.clone());
                shared.spawn(async move {
                    // A member that does not answer stays waited for.
                    let _ = exchange_with(&node, &spread, id, &address, &clock).await;
                });
            }
            sleep(CONFIRM_PAUSE).await;
        }
    }
}

/// Waits for the order to drain, then carries it out.
async fn drain<K: KeyValue, C: Clock>(
    shared: Arc<Shared>,
    spread: Spread,
    store: K,
    order: oneshot::Receiver<DrainRequest>,
    clock: C,
) {
    let Ok(done) = order.await else {
        return;
    };
    shared.members().set_own_state(MemberState::Draining);
    for _ in 0..DRAIN_ROUNDS {
        hand_over_all(&shared, &store, &clock).await;
        if shared.ownership.lock().held.is_empty() {
            break;
        }
        sleep(DRAIN_PAUSE).await;
    }
    revoke_lease(&shared, &store).await;
    shared.members().set_own_state(MemberState::Gone);
    let targets = shared.members().targets(FAREWELL_FANOUT);
    for (id, address) in targets {
        // Peers that were not told find out by calling.
        let _ = exchange_with(&shared, &spread, id, &address, &clock).await;
    }
    // Nobody waits when the node was dropped meanwhile.
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
    let bound = Duration::from_millis(shared.settings.store_timeout_ms);
    // A lease that could not be revoked lapses.
    let _ = timeout(bound, store.lease_revoke(lease.id)).await;
}
