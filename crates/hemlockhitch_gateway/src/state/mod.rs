//! State shared by the tasks of a node.

mod crash;
mod endpoint;
mod exchange;
mod reach;
mod shares;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::{Clock, Now, ServiceName, StorePosition};
use hemlockhitch_ports::key_value::LeaseId;
use hemlockhitch_routing::cascade::ModelChoice;
use hemlockhitch_routing::catalogue::{Catalogue, Service};
use hemlockhitch_routing::crash_tracker::{CrashTracker, Evidence, Suspect};
use hemlockhitch_routing::fleet::Fleet;
use hemlockhitch_routing::limits::{ColdRate, NodeShares, RetryBudget, SlotQueue};
use hemlockhitch_routing::reach::{HelperSelector, Reach};
use hemlockhitch_routing::roll_out::{self, RollOut, Stage};
use hemlockhitch_routing::source::FollowableNode;
use hemlockhitch_routing::{Freshness, SessionAffinity, WorkRanks, hash_bytes};

use tokio::sync::{Notify, watch};

use crate::connection::ConnectionPool;
use crate::controller::{OwnPins, StageRecord};
use crate::dialect::Dialect;
use crate::membership::NodeRecord;
use crate::memory::MemoryAccount;
use crate::peer::{LoadTable, Mirror};
use crate::settings::GatewaySettings;
use crate::telemetry::{self, OrganisationLabels};
use shares::FairShares;

/// Requests that wait for a slot at the endpoints of a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    pub(crate) requests: SlotQueue,
    /// Notified when a slot is released.
    pub(crate) freed: Arc<Notify>,
}

/// Known configuration, endpoints and nodes, and the node's counters.
#[derive(Debug)]
pub struct State {
    /// The current configuration; `None` until one is known.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The endpoints.
    pub fleet: Fleet,
    /// How recent the configuration is.
    pub freshness: Freshness,
    /// The organisations with metric labels of their own.
    pub organisation_labels: OrganisationLabels,
    /// Registered nodes by name; some may no longer be running.
    pub nodes: BTreeMap<String, NodeRecord>,
    node_hashes: Vec<u64>,
    /// Roll-outs by service.
    pub roll_outs: HashMap<ServiceName, RollOut>,
    /// Baseline evidence of services without an active roll-out.
    pub baselines: HashMap<ServiceName, roll_out::Evidence>,
    /// The versions that served recent sessions.
    pub session_affinity: SessionAffinity,
    /// Requests and prompt parts that were at endpoints when these crashed.
    pub crash_tracker: CrashTracker,
    /// Whether this node reaches the endpoints of each service.
    pub reach: Reach,
    /// The nodes to which this node passes requests while it reaches no endpoint.
    pub helpers: HelperSelector,
    /// Requests that wait for a slot at brittle endpoints, by service.
    pub(crate) slot_queues: HashMap<ServiceName, ServiceQueue>,
    /// Shares of services by organisation.
    pub(crate) fair_shares: FairShares,
    /// Original requests and retries, by service.
    pub retry_budgets: HashMap<ServiceName, RetryBudget>,
    /// What is known about the models of each service.
    pub model_choices: HashMap<ServiceName, ModelChoice>,
    /// How long the prefill of recent prompts takes, by service.
    pub work_ranks: HashMap<ServiceName, WorkRanks>,
    /// Stages of roll-outs as the store holds them, with the position at which the key
    /// was written.
    pub(crate) stages: HashMap<ServiceName, (StageRecord, StorePosition)>,
    /// Published status of roll-outs: the target version and its stage.
    pub(crate) published_status: HashMap<ServiceName, (String, Stage)>,
    /// Services with a new roll-out order whose sessions this node has not published
    /// yet.
    pub(crate) unpublished_pins: Vec<ServiceName>,
    /// Sessions that this node published, by service.
    pub(crate) own_pins: HashMap<ServiceName, OwnPins>,
    /// The lease that the node's own keys are attached to.
    pub(crate) lease: Option<LeaseId>,
    /// How long the latest renewal of the lease took, in milliseconds, as a measure of calls
    /// to the store.
    pub(crate) store_call_ms: u64,
    /// Whether the lease was lost with an epoch of the store, so that the node's keys
    /// must wait for a new one.
    pub(crate) lease_is_void: bool,
    /// Blocked suspects that are not in the store yet, with the crashes that show it.
    pub(crate) unpublished_crashes: VecDeque<(Suspect, Evidence)>,
    /// When this node deletes refuted records of crashes, in milliseconds, by key.
    pub(crate) record_deletions: HashMap<String, u64>,
    /// Number of requests in flight.
    pub in_flight: usize,
}

impl State {
    fn new(settings: &GatewaySettings) -> Self {
        Self {
            catalogue: None,
            fleet: Fleet::default(),
            freshness: Freshness::default(),
            organisation_labels: OrganisationLabels::default(),
            nodes: BTreeMap::new(),
            node_hashes: Vec::new(),
            roll_outs: HashMap::new(),
            baselines: HashMap::new(),
            session_affinity: SessionAffinity::new(settings.session_ttl_ms),
            crash_tracker: CrashTracker::default(),
            reach: Reach::default(),
            helpers: HelperSelector::default(),
            slot_queues: HashMap::new(),
            fair_shares: FairShares::new(hash_bytes(settings.node.as_str())),
            retry_budgets: HashMap::new(),
            model_choices: HashMap::new(),
            work_ranks: HashMap::new(),
            stages: HashMap::new(),
            published_status: HashMap::new(),
            unpublished_pins: Vec::new(),
            own_pins: HashMap::new(),
            lease: None,
            lease_is_void: false,
            store_call_ms: 0,
            unpublished_crashes: VecDeque::new(),
            record_deletions: HashMap::new(),
            in_flight: 0,
        }
    }

    /// Replaces the configuration if this one is newer.
    pub fn set_catalogue(&mut self, catalogue: Catalogue, now: Now) {
        let version = catalogue.version();
        if let Some(current) = &self.catalogue
            && current.version() >= version
        {
            return;
        }
        // The former copy was current at its last confirmation, so this version is not older.
        let age_ms = self.freshness.age_ms(now);
        tracing::info!(event = "HH1201", version, ?age_ms, "configuration applied");
        if let Some(age_ms) = age_ms {
            telemetry::record_configuration_delay(age_ms);
        }
        self.catalogue = Some(Arc::new(catalogue));
    }

    /// Returns the index of a node in the list of nodes; 0 while it is not listed.
    #[must_use]
    pub fn node_index(&self, node: &str) -> u64 {
        let index = self.nodes.keys().position(|name| name == node);
        index.map_or(0, |index| index as u64)
    }

    /// Returns the registered nodes that state their address.
    pub(crate) fn followable(&self) -> impl Iterator<Item = FollowableNode<'_>> {
        let nodes = self.nodes.iter();
        nodes.filter_map(|(name, record)| record.followable(name))
    }

    /// Returns the number of nodes that shared limits are divided over; at least one.
    #[must_use]
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Adds a registered node.
    pub(crate) fn add_node(&mut self, node: &str, record: NodeRecord) {
        self.nodes.insert(node.to_owned(), record);
        self.node_hashes = self.nodes.keys().map(hash_bytes).collect();
    }

    /// Removes a node that is no longer registered.
    pub(crate) fn remove_node(&mut self, node: &str) {
        self.nodes.remove(node);
        self.node_hashes = self.nodes.keys().map(hash_bytes).collect();
    }

    /// Returns the rate at which all nodes may send to one cold endpoint of a service;
    /// `None` if the service sets no limit.
    #[must_use]
    pub fn cold_rate(&self, service: &Service, settings: &GatewaySettings) -> Option<ColdRate<'_>> {
        let limit = service.cold_rate_limit?;
        Some(ColdRate {
            total_per_s: limit.requests_per_s * settings.cold_factor + settings.cold_allowance,
            nodes: self.node_shares(settings),
        })
    }

    /// Returns the nodes that share the rates of endpoints.
    #[must_use]
    pub fn node_shares(&self, settings: &GatewaySettings) -> NodeShares<'_> {
        NodeShares {
            own_node_hash: hash_bytes(settings.node.as_str()),
            node_hashes: &self.node_hashes,
        }
    }
}

/// State, connections and settings of a node; clones share them.
#[derive(Debug)]
pub struct NodeContext<D, C> {
    inner: Arc<Inner<D, C>>,
}

#[derive(Debug)]
struct Inner<D, C> {
    state: Mutex<State>,
    mirror: Mutex<Mirror>,
    loads: Mutex<LoadTable>,
    positions: watch::Sender<StorePosition>,
    /// Notified when this node has learned a fact that other nodes may not know.
    facts_learned: Notify,
    connection_pool: ConnectionPool,
    memory: MemoryAccount,
    dialect: D,
    clock: C,
    settings: GatewaySettings,
}

impl<D, C> Clone for NodeContext<D, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Creates the state of a node that has no configuration yet.
    #[must_use]
    pub fn new(dialect: D, clock: C, settings: GatewaySettings) -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(State::new(&settings)),
                mirror: Mutex::default(),
                loads: Mutex::default(),
                positions: watch::Sender::new(StorePosition::default()),
                facts_learned: Notify::new(),
                connection_pool: ConnectionPool::new(settings.source_address),
                memory: MemoryAccount::new(settings.memory_limit_bytes),
                dialect,
                clock,
                settings,
            }),
        }
    }

    /// Locks the state; the guard must not be held across an `await`.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A task that panicked leaves counters that are off by one at worst.
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Now {
        self.inner.clock.now()
    }

    /// Returns the platform's dialect.
    #[must_use]
    pub fn dialect(&self) -> &D {
        &self.inner.dialect
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &GatewaySettings {
        &self.inner.settings
    }

    /// Locks the local copy of the store; the guard must not be held across an `await`,
    /// nor together with the state.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        let mirror = self.inner.mirror.lock();
        mirror.unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the position in the store's history that this node knows to its
    /// followers.
    pub(crate) fn publish_position(&self) {
        let position = self.mirror().position();
        self.inner.positions.send_if_modified(|known| {
            let newer = position > *known;
            *known = position;
            newer
        });
    }

    /// Subscribes to the published positions.
    pub(crate) fn positions(&self) -> watch::Receiver<StorePosition> {
        self.inner.positions.subscribe()
    }

    /// Waits until this node has learned a fact.
    pub(crate) async fn facts_learned(&self) {
        self.inner.facts_learned.notified().await;
    }

    /// Wakes the task that waits for facts.
    pub(crate) fn notify_facts_learned(&self) {
        self.inner.facts_learned.notify_one();
    }

    pub(crate) fn connection_pool(&self) -> &ConnectionPool {
        &self.inner.connection_pool
    }

    /// Returns the budget of bytes for requests and answers.
    pub(crate) fn memory(&self) -> &MemoryAccount {
        &self.inner.memory
    }
}
