//! One node: its parts, their start and their stop.

mod administration;
mod backend;
mod capacity;
mod configuration;
mod late_ledger;
mod operators;
mod ready;
mod reports;
mod roll_outs;
mod session_key;
mod suspects;
mod vms;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_config::settings::Settings;
use hemlockhitch_config::store::ConfigStore;
use hemlockhitch_endpoint::{HttpEngine, HttpService};
use hemlockhitch_http::callers::{CallersLimits, Readiness};
use hemlockhitch_http::server::ApiServer;
use hemlockhitch_http::{admin, callers};
use hemlockhitch_ledger::{LedgerSettings, LedgerWriter, RoutedLedger, RoutedSettings};
use hemlockhitch_model::SystemClock;
use hemlockhitch_peer::{PeerSettings, Peers};
use hemlockhitch_platform::key_value::HttpKeyValue;
use hemlockhitch_policy::guard::GuardSettings;
use hemlockhitch_router::{RollOuts, Router, RouterParts, RouterSettings, ViewFeed};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::error::{NodeError, NodeErrorKind};
use crate::metrics_page;
use administration::NodeAdministration;
use backend::{NodeBackend, PeerGate, Writer};
use configuration::StoreSource;
use late_ledger::LateLedger;
use suspects::NoticeSuspects;
use vms::NodeVmList;

/// How long a stopping node goes on taking work that the balancer still sends.
const BALANCER_LAG: Duration = Duration::from_millis(1_500);

/// How long an answer's end waits for its bill, in milliseconds.
const BILL_WAIT_MS: u64 = 500;

/// Where a node listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The callers' API.
    pub callers: SocketAddr,
    /// The administration API.
    pub operators: SocketAddr,
    /// The protocol between nodes, `ip:port`.
    pub peers: String,
    /// The page of metrics.
    pub metrics: SocketAddr,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "listening callers={} operators={} peers={} metrics={}",
            self.callers, self.operators, self.peers, self.metrics
        )
    }
}

/// A running node.
pub struct Node {
    addresses: Addresses,
    settings: Settings,
    readiness: Readiness,
    router: Router<NodeBackend>,
    peers: Arc<Peers>,
    writer: Writer,
    callers: ApiServer,
    operators: ApiServer,
    metrics: ApiServer,
    background: Vec<JoinHandle<()>>,
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
        let clock = SystemClock::new();
        let store = HttpKeyValue::new(settings.platform.key_value.to_string());
        let changes = ConfigStore::new(store.clone());
        let late = LateLedger::new();
        let peers = start_peers(&settings, &store, &changes, &late, clock).await?;
        let writer = LedgerWriter::new(
            store.clone(),
            peers.ownership(),
            clock,
            ledger_settings(&settings),
        );
        late.set(writer.clone());
        let session_key = session_key::load_or_create(&store).await;
        let (stops, stopped) = mpsc::unbounded_channel();
        let roll_outs = RollOuts::new(GuardSettings::new(), stops);
        let views = ViewFeed::new(settings.node.data_centre.as_str());
        let router = Router::new(RouterParts {
            clock,
            engine: engine(&settings),
            service: HttpService::new().limit_ms(settings.limits.answer_ms),
            ledger: RoutedLedger::new(
                peers.ownership(),
                peers.transport(),
                late,
                RoutedSettings::new().shard_count(shard_count(&settings)),
            ),
            slots: peers.slots(),
            suspects: NoticeSuspects::new(Arc::clone(&peers)),
            gate: PeerGate::new(Arc::clone(&peers)),
            views: views.subscribe(),
            session_key,
            roll_outs: roll_outs.clone(),
            settings: router_settings(&settings),
        });
        let readiness = Readiness::new();
        let administration = NodeAdministration::new(
            settings.node.name.clone(),
            changes,
            Arc::clone(&peers),
            router.clone(),
            clock,
        );
        let callers = serve(
            settings.listen.callers,
            callers::routes(&router, &readiness, callers_limits(&settings)),
        )
        .await?;
        let operators = serve(
            settings.listen.operators,
            admin::routes(&administration, &operators::from_settings(&settings)),
        )
        .await?;
        let metrics = serve(settings.listen.metrics, metrics_page::routes()).await?;
        let following = tokio::spawn(configuration::follow(
            peers.feed(),
            views,
            roll_outs.clone(),
        ));
        let learning = tokio::spawn(roll_outs::learn(Arc::clone(&peers), roll_outs));
        let recording = tokio::spawn(roll_outs::record(
            stopped,
            Arc::clone(&peers),
            administration.clone(),
            clock,
        ));
        let reporting = tokio::spawn(reports::follow(
            Arc::clone(&peers),
            router.clone(),
            engine(&settings),
            clock,
        ));
        let sizing = tokio::spawn(capacity::follow(Arc::clone(&peers), router.clone()));
        let becoming_ready = tokio::spawn(ready::report(
            Arc::clone(&peers),
            readiness.clone(),
            shard_count(&settings),
            clock,
        ));
        Ok(Self {
            addresses: Addresses {
                callers: callers.address(),
                operators: operators.address(),
                peers: peers.address().to_owned(),
                metrics: metrics.address(),
            },
            settings,
            readiness,
            router,
            peers,
            writer,
            callers,
            operators,
            metrics,
            background: vec![
                following,
                becoming_ready,
                learning,
                recording,
                reporting,
                sizing,
            ],
        })
    }

    /// Returns where the node listens.
    #[must_use]
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the node among its peers.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Stops the node: it finishes its requests, records their bills and
    /// outcomes, hands over what it owns, and ends.
    pub async fn stop(self) {
        let drain = Duration::from_millis(self.settings.limits.drain_ms);
        for task in &self.background {
            task.abort();
        }
        self.readiness.set(false);
        tracing::info!(event = "HH0902", node = %self.settings.node.name, "draining");
        sleep(BALANCER_LAG).await;
        self.callers.stop(drain).await;
        if timeout(drain, self.router.in_flight().idle())
            .await
            .is_err()
        {
            let count = self.router.in_flight().count();
            tracing::error!(event = "HH0903", count, "stopped with work in flight");
        }
        self.writer.drain().await;
        if let Err(error) = self.peers.drain().await {
            tracing::warn!(event = "HH0904", %error, "buckets not handed over");
        }
        self.operators.stop(Duration::ZERO).await;
        self.metrics.stop(Duration::ZERO).await;
        tracing::info!(event = "HH0905", node = %self.settings.node.name, "stopped");
    }
}

async fn start_peers(
    settings: &Settings,
    store: &HttpKeyValue,
    changes: &ConfigStore<HttpKeyValue>,
    late: &LateLedger,
    clock: SystemClock,
) -> Result<Arc<Peers>, NodeError> {
    let mut builder = Peers::builder()
        .node(settings.node.name.clone())
        .data_centre(settings.node.data_centre.clone())
        .listen(settings.listen.peers)
        .settings(peer_settings(settings));
    if let Some(address) = settings.advertise.peers {
        builder = builder.advertise(address.to_string());
    }
    let started = builder
        .start(
            store.clone(),
            NodeVmList::new(settings.platform.vm_list),
            StoreSource::new(changes.clone()),
            late.clone(),
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

fn engine(settings: &Settings) -> HttpEngine {
    HttpEngine::builder()
        .chunk_limit_ms(settings.limits.chunk_ms)
        .first_chunk_limit_ms(settings.limits.answer_ms)
        .build()
}

fn ledger_settings(settings: &Settings) -> LedgerSettings {
    LedgerSettings::new(settings.node.name.clone())
        .shard_count(shard_count(settings))
        .claim_unknown_ms(2 * settings.limits.answer_ms)
}

fn shard_count(settings: &Settings) -> u16 {
    u16::try_from(settings.control.shards).unwrap_or(u16::MAX)
}

fn peer_settings(settings: &Settings) -> PeerSettings {
    let control = &settings.control;
    PeerSettings {
        exchange_interval_ms: control.heartbeat_ms,
        self_stop_ms: control.self_stop_ms,
        suspicion_ms: PeerSettings::default()
            .suspicion_ms
            .max(control.self_stop_ms),
        watchers: usize::try_from(control.watchers_per_data_centre).unwrap_or(usize::MAX),
        lease_ttl_ms: control.lease_ms,
        endpoint_buckets: u16::try_from(control.buckets).unwrap_or(u16::MAX),
        ledger_shards: shard_count(settings),
        ..PeerSettings::default()
    }
}

fn router_settings(settings: &Settings) -> RouterSettings {
    RouterSettings::new()
        .in_flight(usize::try_from(settings.limits.in_flight).unwrap_or(usize::MAX))
        .queue_ms(settings.limits.queue_ms)
        .answer_ms(settings.limits.answer_ms)
        .bill_wait_ms(BILL_WAIT_MS)
}

fn callers_limits(settings: &Settings) -> CallersLimits {
    CallersLimits {
        body_bytes: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
    }
}
