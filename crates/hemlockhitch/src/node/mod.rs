//! A router node: its components, startup and graceful shutdown.

mod administration;
mod backend;
mod capacity;
mod configuration;
mod crash_tracker;
mod deferred;
mod deferred_init_ledger;
mod derived_settings;
mod load_reports;
mod operators;
mod readiness;
mod roll_outs;
mod session_key;
mod start;
mod vm_list;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_config::settings::Settings;
use hemlockhitch_http::callers::Readiness;
use hemlockhitch_http::server::ApiServer;
use hemlockhitch_peer::Peers;
use hemlockhitch_router::Router;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use backend::{NodeBackend, Writer};

/// How long a draining node still accepts requests after it reports not ready, so that
/// the load balancer can notice and stop sending them.
const BALANCER_UPDATE_DELAY: Duration = Duration::from_millis(1_500);

/// Listen addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of the callers' API.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub operators: SocketAddr,
    /// Advertised address of the peer protocol, as `ip:port`.
    pub peers: String,
    /// Address of the metrics page.
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

/// A running router node.
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
    /// Returns the addresses that the node listens on.
    #[must_use]
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the node's membership in the fleet.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Shuts the node down gracefully: reports it not ready, drains its requests, writes
    /// their bills and outcomes, and hands over the buckets that it owns.
    pub async fn stop(self) {
        let drain = Duration::from_millis(self.settings.limits.drain_ms);
        for task in &self.background {
            task.abort();
        }
        self.readiness.set(false);
        tracing::info!(event = "HH0902", node = %self.settings.node.name, "draining");
        sleep(BALANCER_UPDATE_DELAY).await;
        self.callers.stop(drain).await;
        if timeout(drain, self.router.in_flight().wait_until_idle())
            .await
            .is_err()
        {
            let count = self.router.in_flight().count();
            tracing::error!(
                event = "HH0903",
                count,
                "drain timeout expired with requests in flight"
            );
        }
        self.writer.drain().await;
        if let Err(error) = self.peers.drain().await {
            tracing::warn!(event = "HH0904", %error, "failed to hand over buckets to peers");
        }
        self.operators.stop(Duration::ZERO).await;
        self.metrics.stop(Duration::ZERO).await;
        tracing::info!(event = "HH0905", node = %self.settings.node.name, "stopped");
    }
}
