//! One node: its parts, their start and their stop.

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

/// How long a stopping node goes on taking work that the balancer still sends.
const BALANCER_LAG: Duration = Duration::from_millis(1_500);

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
        if timeout(drain, self.router.in_flight().wait_until_idle())
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
