//! The start of a node, step by step.

use std::net::SocketAddr;
use std::sync::Arc;

use hemlockhitch_config::settings::Settings;
use hemlockhitch_config::store::ConfigStore;
use hemlockhitch_endpoint::HttpService;
use hemlockhitch_http::callers::Readiness;
use hemlockhitch_http::server::ApiServer;
use hemlockhitch_http::{admin, callers};
use hemlockhitch_ledger::{LedgerWriter, RoutedLedger, RoutedSettings};
use hemlockhitch_model::SystemClock;
use hemlockhitch_peer::Peers;
use hemlockhitch_policy::guard::GuardSettings;
use hemlockhitch_ports::key_value::HttpKeyValue;
use hemlockhitch_router::{RollOuts, Router, RouterParts, RoutingViewPublisher, StoppedVersion};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::administration::NodeAdministration;
use super::backend::{NodeBackend, PeerServingCheck, Writer};
use super::configuration::StoreSource;
use super::crash_tracker::NoticeCrashTracker;
use super::deferred::{NodeQueue, Worker};
use super::deferred_init_ledger::DeferredInitLedger;
use super::vms::NodeVmList;
use super::{
    Addresses, Node, capacity, configuration, derived, operators, ready, reports, roll_outs,
    session_key,
};
use crate::error::{NodeError, NodeErrorKind};
use crate::metrics_page;

/// What the parts of a node rest on: the store and the other nodes.
struct Foundation {
    settings: Settings,
    clock: SystemClock,
    store: HttpKeyValue,
    changes: ConfigStore<HttpKeyValue>,
    peers: Arc<Peers>,
    ledger: DeferredInitLedger,
    writer: Writer,
}

/// The parts that serve requests.
struct Parts {
    router: Router<NodeBackend>,
    roll_outs: RollOuts,
    queue: NodeQueue,
    readiness: Readiness,
    administration: NodeAdministration,
}

/// What the background tasks alone consume.
struct Feeds {
    view_publisher: RoutingViewPublisher,
    stopped: mpsc::UnboundedReceiver<StoppedVersion>,
}

/// The servers of a node.
struct Servers {
    callers: ApiServer,
    operators: ApiServer,
    metrics: ApiServer,
}

impl Node {
    /// Starts a node.
    ///
    /// It returns once every address is listened on and the key of session
    /// tokens is known; the configuration arrives in the background.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let foundation = Foundation::start(settings).await?;
        let (parts, feeds) = foundation.parts().await;
        let servers = foundation.serve(&parts).await?;
        let background = foundation.spawn(&parts, feeds);
        Ok(Self {
            addresses: Addresses {
                callers: servers.callers.address(),
                operators: servers.operators.address(),
                peers: foundation.peers.address().to_owned(),
                metrics: servers.metrics.address(),
            },
            settings: foundation.settings,
            readiness: parts.readiness,
            router: parts.router,
            peers: foundation.peers,
            writer: foundation.writer,
            callers: servers.callers,
            operators: servers.operators,
            metrics: servers.metrics,
            background,
        })
    }
}

impl Foundation {
    /// Joins the other nodes and opens the ledger.
    async fn start(settings: Settings) -> Result<Self, NodeError> {
        let clock = SystemClock::new();
        let store = HttpKeyValue::new(settings.platform.key_value.to_string());
        let changes = ConfigStore::new(store.clone());
        let ledger = DeferredInitLedger::new();
        let peers = start_peers(&settings, &store, &changes, &ledger, clock).await?;
        let writer = LedgerWriter::new(
            store.clone(),
            peers.ownership(),
            clock,
            derived::ledger_settings(&settings),
        );
        ledger.set(writer.clone());
        Ok(Self {
            settings,
            clock,
            store,
            changes,
            peers,
            ledger,
            writer,
        })
    }

    /// Builds the parts that serve requests.
    async fn parts(&self) -> (Parts, Feeds) {
        let (stops, stopped) = mpsc::unbounded_channel();
        let roll_outs = RollOuts::new(GuardSettings::new(), stops);
        let view_publisher = RoutingViewPublisher::new(self.settings.node.data_centre.as_str());
        let router = self.router(&view_publisher, &roll_outs).await;
        let queue = NodeQueue::new(self.store.clone(), derived::queue_settings());
        let administration = NodeAdministration::new(
            self.settings.node.name.clone(),
            self.changes.clone(),
            queue.clone(),
            Arc::clone(&self.peers),
            router.clone(),
            self.clock,
        );
        let parts = Parts {
            router,
            roll_outs,
            queue,
            readiness: Readiness::new(),
            administration,
        };
        (
            parts,
            Feeds {
                view_publisher,
                stopped,
            },
        )
    }

    async fn router(
        &self,
        view_publisher: &RoutingViewPublisher,
        roll_outs: &RollOuts,
    ) -> Router<NodeBackend> {
        let settings = &self.settings;
        let peers = &self.peers;
        let ledger = RoutedLedger::new(
            peers.ownership(),
            peers.transport(),
            self.ledger.clone(),
            RoutedSettings::new().shard_count(derived::shard_count(settings)),
        );
        Router::new(RouterParts {
            clock: self.clock,
            engine: derived::engine(settings),
            service: HttpService::new().timeout_ms(settings.limits.answer_ms),
            ledger,
            slots: peers.slots(),
            crash_tracker: NoticeCrashTracker::new(Arc::clone(peers)),
            serving_check: PeerServingCheck::new(Arc::clone(peers)),
            views: view_publisher.subscribe(),
            session_key: session_key::load_or_create(&self.store).await,
            roll_outs: roll_outs.clone(),
            settings: derived::router_settings(settings),
        })
    }

    /// Listens for callers, operators and readers of metrics.
    async fn serve(&self, parts: &Parts) -> Result<Servers, NodeError> {
        let listen = &self.settings.listen;
        let limits = derived::callers_limits(&self.settings);
        let deferred = callers::deferred_routes(&parts.router, &parts.queue, limits);
        let callers = callers::routes(&parts.router, &parts.readiness, limits).push(deferred);
        let operators = operators::from_settings(&self.settings);
        let operators = admin::routes(&parts.administration, &operators);
        Ok(Servers {
            callers: serve(listen.callers, callers).await?,
            operators: serve(listen.operators, operators).await?,
            metrics: serve(listen.metrics, metrics_page::routes()).await?,
        })
    }

    /// Starts the tasks that run until the node stops.
    fn spawn(&self, parts: &Parts, feeds: Feeds) -> Vec<JoinHandle<()>> {
        let peers = || Arc::clone(&self.peers);
        let router = || parts.router.clone();
        let roll_outs = || parts.roll_outs.clone();
        let following = configuration::follow(self.peers.feed(), feeds.view_publisher, roll_outs());
        let learning = roll_outs::learn(peers(), roll_outs());
        let recording = roll_outs::record(
            feeds.stopped,
            peers(),
            parts.administration.clone(),
            self.clock,
        );
        let engine = derived::engine(&self.settings);
        let reporting = reports::follow(peers(), router(), engine, self.clock);
        let sizing = capacity::follow(peers(), router());
        let shard_count = derived::shard_count(&self.settings);
        let readiness = parts.readiness.clone();
        let becoming_ready = ready::report(peers(), readiness, shard_count, self.clock);
        let deferring = self.worker(parts).run();
        vec![
            tokio::spawn(following),
            tokio::spawn(learning),
            tokio::spawn(recording),
            tokio::spawn(reporting),
            tokio::spawn(sizing),
            tokio::spawn(becoming_ready),
            tokio::spawn(deferring),
        ]
    }

    fn worker(&self, parts: &Parts) -> Worker {
        Worker {
            node: self.settings.node.name.clone(),
            queue: parts.queue.clone(),
            store: self.store.clone(),
            router: parts.router.clone(),
            peers: Arc::clone(&self.peers),
            clock: self.clock,
            lease_ttl_ms: self.settings.control.lease_ms,
        }
    }
}

async fn start_peers(
    settings: &Settings,
    store: &HttpKeyValue,
    changes: &ConfigStore<HttpKeyValue>,
    ledger: &DeferredInitLedger,
    clock: SystemClock,
) -> Result<Arc<Peers>, NodeError> {
    let mut builder = Peers::builder()
        .node(settings.node.name.clone())
        .data_centre(settings.node.data_centre.clone())
        .listen(settings.listen.peers)
        .settings(derived::peer_settings(settings));
    if let Some(address) = settings.advertise.peers {
        builder = builder.advertise(address.to_string());
    }
    let started = builder
        .start(
            store.clone(),
            NodeVmList::new(settings.platform.vm_list),
            StoreSource::new(changes.clone()),
            ledger.clone(),
            clock,
        )
        .await;
    let peers = started.map_err(|error| NodeError::new(NodeErrorKind::Peers, error.to_string()))?;
    Ok(Arc::new(peers))
}

async fn serve(address: SocketAddr, routes: salvo::Router) -> Result<ApiServer, NodeError> {
    ApiServer::start(address, routes)
        .await
        .map_err(|error| NodeError::listen(address, &error))
}
