//! Startup of a node.

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
use super::configuration::StoreConfigurationSource;
use super::crash_tracker::NoticeCrashTracker;
use super::deferred::{NodeQueue, Worker};
use super::deferred_init_ledger::DeferredInitLedger;
use super::vm_list::NodeVmList;
use super::{
    Addresses, Node, capacity, configuration, derived_settings, load_reports, operators, readiness,
    roll_outs, session_key,
};
use crate::error::{NodeError, NodeErrorKind};
use crate::metrics_page;

/// Store, peers and ledger, on which the services of the node depend.
struct Infrastructure {
    settings: Settings,
    clock: SystemClock,
    store: HttpKeyValue,
    config_store: ConfigStore<HttpKeyValue>,
    peers: Arc<Peers>,
    ledger: DeferredInitLedger,
    writer: Writer,
}

/// Components that serve callers and operators.
struct Services {
    router: Router<NodeBackend>,
    roll_outs: RollOuts,
    queue: NodeQueue,
    readiness: Readiness,
    administration: NodeAdministration,
}

/// Inputs that only the background tasks consume.
struct BackgroundInputs {
    view_publisher: RoutingViewPublisher,
    stopped_versions: mpsc::UnboundedReceiver<StoppedVersion>,
}

/// HTTP servers of a node.
struct Servers {
    callers: ApiServer,
    operators: ApiServer,
    metrics: ApiServer,
}

impl Node {
    /// Starts a node.
    ///
    /// Returns once all listeners are bound and the session key is loaded; the
    /// configuration arrives in the background.
    ///
    /// # Errors
    ///
    /// Fails if the peer protocol cannot be started or a listener cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self, NodeError> {
        let infrastructure = Infrastructure::start(settings).await?;
        let (services, inputs) = infrastructure.build_services().await;
        let servers = infrastructure.start_servers(&services).await?;
        let background = infrastructure.spawn_background(&services, inputs);
        Ok(Self {
            addresses: Addresses {
                callers: servers.callers.address(),
                operators: servers.operators.address(),
                peers: infrastructure.peers.address().to_owned(),
                metrics: servers.metrics.address(),
            },
            settings: infrastructure.settings,
            readiness: services.readiness,
            router: services.router,
            peers: infrastructure.peers,
            writer: infrastructure.writer,
            callers: servers.callers,
            operators: servers.operators,
            metrics: servers.metrics,
            background,
        })
    }
}

impl Infrastructure {
    /// Joins the fleet and creates the ledger writer.
    async fn start(settings: Settings) -> Result<Self, NodeError> {
        let clock = SystemClock::new();
        let store = HttpKeyValue::new(settings.platform.key_value.to_string());
        let config_store = ConfigStore::new(store.clone());
        let ledger = DeferredInitLedger::new();
        let peers = start_peers(&settings, &store, &config_store, &ledger, clock).await?;
        let writer = LedgerWriter::new(
            store.clone(),
            peers.ownership(),
            clock,
            derived_settings::ledger_settings(&settings),
        );
        ledger.set(writer.clone());
        Ok(Self {
            settings,
            clock,
            store,
            config_store,
            peers,
            ledger,
            writer,
        })
    }

    /// Builds the services; waits for the session key.
    async fn build_services(&self) -> (Services, BackgroundInputs) {
        let (stop_sender, stopped_versions) = mpsc::unbounded_channel();
        let roll_outs = RollOuts::new(GuardSettings::new(), stop_sender);
        let view_publisher = RoutingViewPublisher::new(self.settings.node.data_centre.as_str());
        let router = self.router(&view_publisher, &roll_outs).await;
        let queue = NodeQueue::new(self.store.clone(), derived_settings::queue_settings());
        let administration = NodeAdministration::new(
            self.settings.node.name.clone(),
            self.config_store.clone(),
            queue.clone(),
            Arc::clone(&self.peers),
            router.clone(),
            self.clock,
        );
        let services = Services {
            router,
            roll_outs,
            queue,
            readiness: Readiness::new(),
            administration,
        };
        (
            services,
            BackgroundInputs {
                view_publisher,
                stopped_versions,
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
            RoutedSettings::new().shard_count(derived_settings::shard_count(settings)),
        );
        Router::new(RouterParts {
            clock: self.clock,
            engine: derived_settings::engine(settings),
            service: HttpService::new().timeout_ms(settings.limits.answer_ms),
            ledger,
            slots: peers.slots(),
            crash_tracker: NoticeCrashTracker::new(Arc::clone(peers)),
            serving_check: PeerServingCheck::new(Arc::clone(peers)),
            views: view_publisher.subscribe(),
            session_key: session_key::load_or_create(&self.store).await,
            roll_outs: roll_outs.clone(),
            settings: derived_settings::router_settings(settings),
        })
    }

    /// Starts the HTTP servers for callers, operators and metrics.
    async fn start_servers(&self, services: &Services) -> Result<Servers, NodeError> {
        let listen = &self.settings.listen;
        let limits = derived_settings::callers_limits(&self.settings);
        let deferred = callers::deferred_routes(&services.router, &services.queue, limits);
        let callers = callers::routes(&services.router, &services.readiness, limits).push(deferred);
        let operators = operators::from_settings(&self.settings);
        let operators = admin::routes(&services.administration, &operators);
        Ok(Servers {
            callers: start_server(listen.callers, callers).await?,
            operators: start_server(listen.operators, operators).await?,
            metrics: start_server(listen.metrics, metrics_page::routes()).await?,
        })
    }

    /// Spawns the background tasks, which run until the node stops.
    fn spawn_background(
        &self,
        services: &Services,
        inputs: BackgroundInputs,
    ) -> Vec<JoinHandle<()>> {
        let peers = || Arc::clone(&self.peers);
        let router = || services.router.clone();
        let roll_outs = || services.roll_outs.clone();
        let configuration_updates =
            configuration::publish_updates(self.peers.feed(), inputs.view_publisher, roll_outs());
        let peer_stops = roll_outs::apply_peer_stops(peers(), roll_outs());
        let stop_recording = roll_outs::publish_and_record(
            inputs.stopped_versions,
            peers(),
            services.administration.clone(),
            self.clock,
        );
        let engine = derived_settings::engine(&self.settings);
        let load_polling = load_reports::poll(peers(), router(), engine, self.clock);
        let capacity_updates = capacity::update(peers(), router());
        let shard_count = derived_settings::shard_count(&self.settings);
        let readiness = services.readiness.clone();
        let readiness_updates = readiness::update(peers(), readiness, shard_count, self.clock);
        let deferred_worker = self.worker(services).run();
        vec![
            tokio::spawn(configuration_updates),
            tokio::spawn(peer_stops),
            tokio::spawn(stop_recording),
            tokio::spawn(load_polling),
            tokio::spawn(capacity_updates),
            tokio::spawn(readiness_updates),
            tokio::spawn(deferred_worker),
        ]
    }

    fn worker(&self, services: &Services) -> Worker {
        Worker {
            node: self.settings.node.name.clone(),
            queue: services.queue.clone(),
            store: self.store.clone(),
            router: services.router.clone(),
            peers: Arc::clone(&self.peers),
            clock: self.clock,
            lease_ttl_ms: self.settings.control.lease_ms,
        }
    }
}

async fn start_peers(
    settings: &Settings,
    store: &HttpKeyValue,
    config_store: &ConfigStore<HttpKeyValue>,
    ledger: &DeferredInitLedger,
    clock: SystemClock,
) -> Result<Arc<Peers>, NodeError> {
    let mut builder = Peers::builder()
        .node(settings.node.name.clone())
        .data_centre(settings.node.data_centre.clone())
        .listen(settings.listen.peers)
        .settings(derived_settings::peer_settings(settings));
    if let Some(address) = settings.advertise.peers {
        builder = builder.advertise(address.to_string());
    }
    let started = builder
        .start(
            store.clone(),
            NodeVmList::new(settings.platform.vm_list),
            StoreConfigurationSource::new(config_store.clone()),
            ledger.clone(),
            clock,
        )
        .await;
    let peers = started.map_err(|error| NodeError::new(NodeErrorKind::Peers, error.to_string()))?;
    Ok(Arc::new(peers))
}

async fn start_server(address: SocketAddr, routes: salvo::Router) -> Result<ApiServer, NodeError> {
    ApiServer::start(address, routes)
        .await
        .map_err(|error| NodeError::listen(address, &error))
}
