//! State shared by the tasks of one node.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_config::{Configuration, NumberedChange};
use hemlockhitch_model::{EndpointName, Now};
use tokio::task::JoinSet;

use crate::client::PeerClients;
use crate::feed::ConfigurationFeed;
use crate::fitness::{Fitness, LastContact, StopReason};
use crate::member::{MemberState, MemberTable, NodeId};
use crate::notice::Notices;
use crate::ownership::Ownership;
use crate::settings::PeerSettings;
use crate::slots::{GrantTable, HeldSlots};
use crate::traffic::Traffic;
use crate::wire;

/// The shared state of one node.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: PeerSettings,
    pub(crate) own_id: NodeId,
    pub(crate) members: Arc<Mutex<MemberTable>>,
    pub(crate) feed: ConfigurationFeed,
    pub(crate) last_contact: LastContact,
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

    /// Runs `act` on the grant table if this node may act for the endpoint at `now`.
    ///
    /// The grant table stays locked from the check to the end of `act`. A hand-over
    /// first revokes the right to act and then reads the grant table, so it misses no
    /// grant.
    pub(crate) fn run_if_owner<T>(
        &self,
        endpoint: &EndpointName,
        now: Now,
        act: impl FnOnce(&mut GrantTable) -> T,
    ) -> Option<T> {
        let bucket = self.ownership.endpoint_bucket(endpoint);
        let mut grant_table = self.grant_table();
        self.ownership.fencing_token(bucket, now)?;
        Some(act(&mut grant_table))
    }

    /// Returns this node's member entry as a wire message.
    pub(crate) fn own_wire(&self) -> wire::Member {
        let members = self.members();
        let own = members.own();
        own.identity.to_wire(own.status)
    }

    /// Spawns a task that is aborted when the node stops.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        if !self.is_stopped() {
            tasks.spawn(task);
        }
    }

    /// Aborts all tasks; calls from peers are refused from now on.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.abort_all();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns whether the configuration was loaded from the store or a peer.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::SeqCst)
    }

    /// Replaces the configuration unless the new one is older.
    pub(crate) fn replace_configuration(&self, configuration: Configuration) {
        self.feed.replace(configuration);
        self.loaded.store(true, Ordering::SeqCst);
        self.publish_generation();
    }

    /// Applies changes; returns whether the last of them is in force afterwards.
    pub(crate) fn apply_changes(&self, changes: &[NumberedChange]) -> bool {
        let reached = self.feed.apply(changes);
        self.publish_generation();
        reached
    }

    fn publish_generation(&self) {
        let generation = self.feed.generation();
        let mut members = self.members();
        if members.own_generation() < generation {
            members.set_own_generation(generation);
        }
    }

    /// Returns whether this node should follow the configuration store at `now`: it is
    /// a watcher, or it has no contact with peers.
    pub(crate) fn should_follow_store(&self, now: Now) -> bool {
        let max_silence_ms = 2 * self.settings.exchange_interval_ms;
        let has_peer_contact = self.last_contact.peer_silence_ms(now) < max_silence_ms;
        !has_peer_contact || self.members().is_watcher(self.settings.watchers)
    }

    pub(crate) fn fitness(&self, now: Now) -> Fitness {
        let stopped = |reason| Fitness::SelfStopped { reason };
        if !self.is_loaded() {
            return stopped(StopReason::NoConfiguration);
        }
        if self.members().own_state() >= MemberState::Draining {
            return stopped(StopReason::Draining);
        }
        if self.last_contact.silence_ms(now) > self.settings.self_stop_ms {
            return stopped(StopReason::Isolated);
        }
        Fitness::Serving
    }
}
