//! What the tasks of one node share.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_config::{Configuration, NumberedChange};
use hemlockhitch_model::{EndpointName, Now};
use tokio::task::JoinSet;

use crate::client::PeerClients;
use crate::feed::ConfigurationFeed;
use crate::fitness::{Contact, Fitness, StopReason};
use crate::member::{MemberState, MemberTable, NodeId};
use crate::notice::Notices;
use crate::ownership::Ownership;
use crate::settings::PeerSettings;
use crate::slots::{GrantTable, HeldSlots};
use crate::traffic::Traffic;
use crate::wire;

/// The state of one node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PeerSettings,
    pub(crate) own_id: NodeId,
    pub(crate) members: Arc<Mutex<MemberTable>>,
    pub(crate) feed: ConfigurationFeed,
    pub(crate) contact: Contact,
    pub(crate) clients: PeerClients,
    pub(crate) traffic: Traffic,
    pub(crate) ownership: Ownership,
    pub(crate) notices: Notices,
    pub(crate) grant_table: Mutex<GrantTable>,
    pub(crate) held_slots: Mutex<HeldSlots>,
    pub(crate) loaded: AtomicBool,
    pub(crate) stopped: AtomicBool,
    pub(crate) tasks: Mutex<JoinSet<()>>,
}

impl Shared {
    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn grant_table(&self) -> MutexGuard<'_, GrantTable> {
        self.grant_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn held_slots(&self) -> MutexGuard<'_, HeldSlots> {
        self.held_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `act` on the book if this node may act for the endpoint at `now`.
    ///
    /// The book stays locked from the check to the end of `act`, so that a
    /// hand-over, which stops the node first and reads the book second, misses
    /// no grant.
    pub(crate) fn as_owner<T>(
        &self,
        endpoint: &EndpointName,
        now: Now,
        act: impl FnOnce(&mut GrantTable) -> T,
    ) -> Option<T> {
        let bucket = self.ownership.endpoint_bucket(endpoint);
        let mut book = self.grant_table();
        self.ownership.fencing_token(bucket, now)?;
        Some(act(&mut book))
    }

    /// Returns this node's own entry as a message.
    pub(crate) fn own_wire(&self) -> wire::Member {
        let members = self.members();
        let own = members.own();
        own.identity.to_wire(own.status)
    }

    /// Runs a task until it ends or the node stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        if !self.is_stopped() {
            tasks.spawn(task);
        }
    }

    /// Ends every task; calls of peers are refused from now on.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.abort_all();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Whether the configuration was read from the store or a peer.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::SeqCst)
    }

    /// Puts a whole configuration in force unless it is older.
    pub(crate) fn replace_configuration(&self, configuration: Configuration) {
        self.feed.replace(configuration);
        self.loaded.store(true, Ordering::SeqCst);
        self.tell_generation();
    }

    /// Puts changes in force; returns whether the last of them is in force.
    pub(crate) fn apply_changes(&self, changes: &[NumberedChange]) -> bool {
        let reached = self.feed.apply(changes);
        self.tell_generation();
        reached
    }

    fn tell_generation(&self) {
        let generation = self.feed.generation();
        let mut members = self.members();
        if members.own_generation() < generation {
            members.set_own_generation(generation);
        }
    }

    /// Whether this node should follow the store at `now`: it was chosen, or
    /// it hears no peer.
    pub(crate) fn follows_store(&self, now: Now) -> bool {
        let quiet_ms = 2 * self.settings.exchange_interval_ms;
        let hears_peers = self.contact.peer_silence_ms(now) < quiet_ms;
        !hears_peers || self.members().is_watcher(self.settings.watchers)
    }

    pub(crate) fn fitness(&self, now: Now) -> Fitness {
        let stopped = |reason| Fitness::SelfStopped { reason };
        if !self.is_loaded() {
            return stopped(StopReason::NoConfiguration);
        }
        if self.members().own_state() >= MemberState::Draining {
            return stopped(StopReason::Draining);
        }
        if self.contact.silence_ms(now) > self.settings.self_stop_ms {
            return stopped(StopReason::CutOff);
        }
        Fitness::Serving
    }
}
