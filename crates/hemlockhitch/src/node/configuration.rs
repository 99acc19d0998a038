//! Delivery of the configuration from the store to the request path.

use hemlockhitch_config::store::ConfigStore;
use hemlockhitch_config::{Configuration, NumberedChange, RoutingTable};
use hemlockhitch_peer::ConfigurationFeed;
use hemlockhitch_peer::feed::{ConfigurationSource, SourceError};
use hemlockhitch_ports::key_value::HttpKeyValue;
use hemlockhitch_router::{RollOuts, RoutingViewPublisher};

/// Configuration source backed by the key-value store.
#[derive(Clone, Debug)]
pub(super) struct StoreConfigurationSource {
    store: ConfigStore<HttpKeyValue>,
}

impl StoreConfigurationSource {
    pub(super) fn new(store: ConfigStore<HttpKeyValue>) -> Self {
        Self { store }
    }
}

impl ConfigurationSource for StoreConfigurationSource {
    async fn load(&self) -> Result<Configuration, SourceError> {
        self.store.load().await.map_err(|error| SourceError {
            detail: error.to_string(),
        })
    }

    async fn changes_after(
        &self,
        generation: u64,
        wait_ms: u64,
    ) -> Result<Vec<NumberedChange>, SourceError> {
        let changes = self.store.changes_after(generation, wait_ms).await;
        changes.map_err(|error| SourceError {
            detail: error.to_string(),
        })
    }
}

/// Compiles and publishes each configuration that takes effect, and applies its
/// roll-outs to the roll-out guard.
pub(super) async fn publish_updates(
    feed: ConfigurationFeed,
    mut view_publisher: RoutingViewPublisher,
    roll_outs: RollOuts,
) {
    let mut configurations = feed.subscribe();
    loop {
        let configuration = configurations.borrow_and_update().clone();
        if configuration.generation > 0 {
            roll_outs.apply_configuration(&configuration);
            view_publisher.publish(RoutingTable::compile(&configuration));
            tracing::info!(
                event = "HH0906",
                generation = configuration.generation,
                "configuration applied"
            );
        }
        if configurations.changed().await.is_err() {
            return;
        }
    }
}
