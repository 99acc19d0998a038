//! A node that runs as a gateway on the users' platform.

mod derived;

use std::time::Duration;

use hemlockhitch_adapter::{PlatformDialect, PlatformStore};
use hemlockhitch_config::settings::GatewayFile;
use hemlockhitch_gateway::{
    Drain, Gateway, Listener, NodeContext, Readiness, exchange_facts, follow_store, register_node,
    report_gauges, run_roll_out_controller,
};
use hemlockhitch_http::server::ApiServer;
use hemlockhitch_model::BootClock;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::error::{NodeError, NodeErrorKind};
use crate::metrics_page;

/// How long a stopping node keeps accepting connections: the load balancer notices
/// after two readiness checks, at one per second.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);

/// Margin at the end of the grace period, in milliseconds.
const STOP_MARGIN_MS: u64 = 600;

/// A running gateway.
pub struct GatewayNode {
    file: GatewayFile,
    drain: Drain,
    readiness: Readiness<PlatformDialect, BootClock>,
    metrics: ApiServer,
    background: Vec<JoinHandle<()>>,
}

impl GatewayNode {
    /// Starts a gateway. Returns once all listeners are bound; the store's content is
    /// loaded in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(file: GatewayFile) -> Result<Self, NodeError> {
        let store = PlatformStore::new(file.key_value.to_string());
        let node_context = NodeContext::new(
            PlatformDialect,
            BootClock::new(),
            derived::gateway_settings(&file),
        );
        let readiness = Readiness::new(node_context.clone());
        let gateway = Gateway::new(node_context.clone());
        let listen = file.listen;
        let drain = Drain::default();
        let listener = Listener::start(listen.callers, gateway.clone(), drain.clone())
            .await
            .map_err(|error| NodeError::listen(listen.callers, &error))?;
        let readiness_address =
            hemlockhitch_gateway::serve_readiness(listen.readiness, readiness.clone())
                .await
                .map_err(|error| NodeError::listen(listen.readiness, &error))?;
        let feed_address = hemlockhitch_gateway::serve_peers(
            listen.peers,
            gateway,
            readiness.clone(),
            drain.clone(),
        )
        .await
        .map_err(|error| NodeError::listen(listen.peers, &error))?;
        let metrics = ApiServer::start(listen.metrics, metrics_page::routes())
            .await
            .map_err(|error| NodeError::new(NodeErrorKind::Listen, error.to_string()))?;
        let background = vec![
            tokio::spawn(follow_store(node_context.clone(), store.clone())),
            tokio::spawn(register_node(
                node_context.clone(),
                store.clone(),
                feed_address,
            )),
            tokio::spawn(report_gauges(node_context.clone())),
            tokio::spawn(exchange_facts(node_context.clone())),
            tokio::spawn(run_roll_out_controller(node_context, store)),
        ];
        tracing::info!(
            event = "HH0920",
            node = %file.node.name,
            callers = %listener.address(),
            readiness = %readiness_address,
            peers = %feed_address,
            metrics = %metrics.address(),
            "gateway started"
        );
        Ok(Self {
            file,
            drain,
            readiness,
            metrics,
            background,
        })
    }

    /// Handles a reload of the settings file. The result is only logged, because
    /// changed settings apply at the next start.
    pub fn reload(&self, loaded: Result<GatewayFile, impl std::fmt::Display>) {
        match loaded {
            Ok(file) if file == self.file => {
                tracing::info!(event = "HH0921", "settings unchanged");
            }
            Ok(_) => {
                tracing::warn!(
                    event = "HH0922",
                    "settings changed; they apply at the next start"
                );
            }
            Err(error) => {
                tracing::error!(event = "HH0923", %error, "changed settings are invalid");
            }
        }
    }

    /// Stops the gateway once its requests are finished or the grace period is over.
    pub async fn stop(self) {
        let started = Instant::now();
        self.readiness.stop();
        self.drain.close_connections();
        tracing::info!(event = "HH0924", node = %self.file.node.name, "gateway stopping");
        sleep(BALANCER_LAG).await;
        let limit = derived::grace_period(&self.file)
            .saturating_sub(Duration::from_millis(STOP_MARGIN_MS))
            .saturating_sub(started.elapsed());
        let left = self.drain.stop(limit).await;
        for task in &self.background {
            task.abort();
        }
        self.metrics.stop(Duration::ZERO).await;
        tracing::info!(event = "HH0925", node = %self.file.node.name, left, "gateway stopped");
    }
}
