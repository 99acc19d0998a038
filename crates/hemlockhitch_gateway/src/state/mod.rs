//! What the tasks of a node share.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::{Clock, Now, ServiceName};
use hemlockhitch_ports::key_value::LeaseId;
use hemlockhitch_routing::allowance::{ColdRate, Repeats};
use hemlockhitch_routing::catalogue::{Catalogue, Service};
use hemlockhitch_routing::fleet::Fleet;
use hemlockhitch_routing::roll_out::{Evidence, RollOut, Stage};
use hemlockhitch_routing::size::Pressure;
use hemlockhitch_routing::suspect::Suspects;
use hemlockhitch_routing::{Freshness, Sessions, hash_bytes};

use tokio::sync::watch;

use crate::connection::Connections;
use crate::controller::StageRecord;
use crate::dialect::Dialect;
use crate::membership::NodeRecord;
use crate::peer::{LoadTable, Loads, Mirror};
use crate::settings::GatewaySettings;
use crate::telemetry::OrganisationLabels;

/// What the node knows and counts.
#[derive(Debug)]
pub struct State {
    /// The configuration; `None` until it is known.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The endpoints.
    pub fleet: Fleet,
    /// How recent the configuration is.
    pub freshness: Freshness,
    /// The organisations that metrics name.
    pub organisation_labels: OrganisationLabels,
    /// The nodes that may be at work, by name.
    pub nodes: BTreeMap<String, NodeRecord>,
    node_hashes: Vec<u64>,
    /// Roll-outs by service.
    pub roll_outs: HashMap<ServiceName, RollOut>,
    /// What was seen of services without a roll-out.
    pub usual: HashMap<ServiceName, Evidence>,
    /// The versions of recent sessions.
    pub sessions: Sessions,
    /// Requests that may crash endpoints.
    pub suspects: Suspects,
    /// Firsts and repeats by service.
    pub repeats: HashMap<ServiceName, Repeats>,
    /// How close first events come to their objective, by service.
    pub pressure: HashMap<ServiceName, Pressure>,
    /// Stages of roll-outs as the store holds them, with the key's version.
    pub(crate) stages: HashMap<ServiceName, (StageRecord, u64)>,
    /// What the operator was told of roll-outs: the version and its stage.
    pub(crate) told: HashMap<ServiceName, (String, Stage)>,
    /// Services whose roll-out was ordered a moment ago, of which this node's sessions
    /// are not shared yet.
    pub(crate) pins_due: Vec<ServiceName>,
    /// The lease that the node's own keys hang on.
    pub(crate) lease: Option<LeaseId>,
    /// Suspicions that other nodes have not been told of.
    pub(crate) suspect_news: Vec<(u64, u32)>,
    /// Requests in hand.
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
            usual: HashMap::new(),
            sessions: Sessions::new(settings.session_ms),
            suspects: Suspects::default(),
            repeats: HashMap::new(),
            pressure: HashMap::new(),
            stages: HashMap::new(),
            told: HashMap::new(),
            pins_due: Vec::new(),
            lease: None,
            suspect_news: Vec::new(),
            in_flight: 0,
        }
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn put_catalogue(&mut self, catalogue: Catalogue) {
        let version = catalogue.version();
        if let Some(known) = &self.catalogue
            && known.version() >= version
        {
            return;
        }
        tracing::info!(event = "HH1201", version, "configuration in force");
        self.catalogue = Some(Arc::new(catalogue));
    }

    /// Returns the place of a node in the list of nodes; 0 while it is not listed.
    #[must_use]
    pub fn place_among_nodes(&self, node: &str) -> u64 {
        let place = self.nodes.keys().position(|name| name == node);
        place.map_or(0, |place| place as u64)
    }

    /// Returns the nodes that common allowances are divided over; at least one.
    #[must_use]
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX).max(1)
    }

    /// Takes in that a node may be at work.
    pub(crate) fn put_node(&mut self, node: &str, record: NodeRecord) {
        self.nodes.insert(node.to_owned(), record);
        self.node_hashes = self.nodes.keys().map(hash_bytes).collect();
    }

    /// Takes in that a node is gone.
    pub(crate) fn remove_node(&mut self, node: &str) {
        self.nodes.remove(node);
        self.node_hashes = self.nodes.keys().map(hash_bytes).collect();
    }

    /// Returns how fast all nodes may ask one cold endpoint of a service; `None` if
    /// they need not be spared.
    #[must_use]
    pub fn cold_rate(&self, service: &Service, settings: &GatewaySettings) -> Option<ColdRate<'_>> {
        let cold = service.cold?;
        Some(ColdRate {
            all_per_s: cold.requests_per_s * settings.cold_factor + settings.cold_allowance,
            own_hash: hash_bytes(settings.node.as_str()),
            node_hashes: &self.node_hashes,
        })
    }
}

/// The state, the connections and what they rest on; clones share them.
#[derive(Debug)]
pub struct Shared<D, C> {
    parts: Arc<Parts<D, C>>,
}

#[derive(Debug)]
struct Parts<D, C> {
    state: Mutex<State>,
    mirror: Mutex<Mirror>,
    loads: Mutex<LoadTable>,
    revisions: watch::Sender<u64>,
    connections: Connections,
    dialect: D,
    clock: C,
    settings: GatewaySettings,
}

impl<D, C> Clone for Shared<D, C> {
    fn clone(&self) -> Self {
        Self {
            parts: Arc::clone(&self.parts),
        }
    }
}

impl<D: Dialect, C: Clock> Shared<D, C> {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(dialect: D, clock: C, settings: GatewaySettings) -> Self {
        Self {
            parts: Arc::new(Parts {
                state: Mutex::new(State::new(&settings)),
                mirror: Mutex::default(),
                loads: Mutex::default(),
                revisions: watch::Sender::new(0),
                connections: Connections::default(),
                dialect,
                clock,
                settings,
            }),
        }
    }

    /// Locks the state; never held while a task waits.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A task that panicked leaves counters that are off by one at worst.
        let state = self.parts.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Now {
        self.parts.clock.now()
    }

    /// Returns the platform's translation.
    #[must_use]
    pub fn dialect(&self) -> &D {
        &self.parts.dialect
    }

    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &GatewaySettings {
        &self.parts.settings
    }

    /// Locks what the node knows of the store; never held while a task waits, nor
    /// together with the state.
    pub(crate) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        let mirror = self.parts.mirror.lock();
        mirror.unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what a node that follows this one has at endpoints, and what that
    /// means for this one.
    pub(crate) fn put_loads(&self, node: &str, loads: Loads) {
        let now = self.now();
        let settings = self.settings();
        let mut table = self.lock_loads();
        table.put(node, loads, now);
        let others = table.without(settings.node.as_str(), now);
        drop(table);
        self.note_others(&others);
    }

    /// Takes in what the other nodes of the data centre have at its endpoints.
    pub(crate) fn note_others(&self, others: &Loads) {
        let of_endpoint = |hash| others.get(&hash).copied().unwrap_or_default();
        let data_centre = &self.settings().data_centre;
        let mut state = self.state();
        state
            .fleet
            .note_others(data_centre, of_endpoint, self.now());
    }

    /// Returns what this node has at endpoints of its data centre.
    pub(crate) fn own_loads(&self) -> Loads {
        let data_centre = &self.settings().data_centre;
        self.state().fleet.sent(data_centre).collect()
    }

    /// Returns what this node and those that follow it have at endpoints, but for one.
    pub(crate) fn loads_without(&self, node: &str) -> Loads {
        let now = self.now();
        let own = self.own_loads();
        let mut table = self.lock_loads();
        table.put(self.settings().node.as_str(), own, now);
        table.without(node, now)
    }

    fn lock_loads(&self) -> MutexGuard<'_, LoadTable> {
        let loads = self.parts.loads.lock();
        loads.unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells those who follow this node up to which revision it knows the store.
    pub(crate) fn publish_revision(&self) {
        let revision = self.mirror().revision();
        self.parts.revisions.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision;
            newer
        });
    }

    /// Returns the revisions that are told to those who follow this node.
    pub(crate) fn revisions(&self) -> watch::Receiver<u64> {
        self.parts.revisions.subscribe()
    }

    pub(crate) fn connections(&self) -> &Connections {
        &self.parts.connections
    }
}
